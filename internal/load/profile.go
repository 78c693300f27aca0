// Package load measures a fleet: it sends a deployment's mix of requests at
// times that do not depend on the answers, and reports what callers saw.
package load

import (
	"fmt"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/wan"
)

// Kind tells how a class of requests is measured.
type Kind string

// The kinds of class.
const (
	// KindLong is a generation whose length varies widely.
	KindLong Kind = "long"
	// KindShort is a generation of a few tokens.
	KindShort Kind = "short"
	// KindLookup is an idempotent call of a plain service.
	KindLookup Kind = "lookup"
	// KindOnce is a non-idempotent call of a plain service.
	KindOnce Kind = "once"
)

// Class is one sort of request in a deployment's mix.
type Class struct {
	Name    string
	Service string
	Kind    Kind
	// Share is the class's part of all requests.
	Share float64
	// Median and Sigma describe the log-normal output length in tokens.
	Median float64
	Sigma  float64
	// Stragglers is the part of requests that are StragglerFactor as long.
	Stragglers      float64
	StragglerFactor float64
	// Prompt is the mean prompt in tokens.
	Prompt int
}

// Deployment is one user's fleet and mix.
type Deployment struct {
	Name    string
	Engines []wan.Place
	Plains  []wan.Place
	Entries []wan.Place
	// EntryShare is the part of the callers at each entry.
	EntryShare []float64
	Distances  wan.Distances
	Model      string
	PlainRole  string
	Services   []config.Service
	Classes    []Class
	// Workspaces are the shares of the workspaces.
	Workspaces []float64
}

// Limits of services in a measurement.
const (
	maxOutput      = 700
	queueMillis    = 5000
	timeoutMillis  = 60_000
	resumeMillis   = 2000
	regionLinkBits = 30e6
)

// workspaceShares are ten workspaces, a few of them large.
var workspaceShares = []float64{0.28, 0.2, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03}

func places(region string, counts ...int) []wan.Place {
	var out []wan.Place
	for i, n := range counts {
		for range n {
			out = append(out, wan.Place{Datacentre: fmt.Sprintf("%s-%d", region, i+1), Region: region})
		}
	}
	return out
}

func service(name, model string, priority int, short bool) config.Service {
	return config.Service{
		Name: name, Kind: config.KindModel, Model: model, Priority: priority, Short: short,
		QueueMillis: queueMillis, TimeoutMillis: timeoutMillis, ResumeMillis: resumeMillis,
	}
}

func plainService(name, role string) config.Service {
	return config.Service{
		Name: name, Kind: config.KindPlain, Role: role, IdempotentMethods: []string{"GET"}, OnceMethods: []string{"POST"},
		QueueMillis: queueMillis, TimeoutMillis: timeoutMillis,
	}
}

// Pedalia returns the repair shop: repair guides are its core.
func Pedalia() Deployment {
	return Deployment{
		Name:    "pedalia",
		Engines: append(places("central", 4, 4), places("west", 4)...),
		Plains:  append(places("central", 1, 1), places("west", 1)...),
		Entries: append(places("central", 1, 1), places("west", 1)...), EntryShare: []float64{0.35, 0.35, 0.3},
		Distances: wan.Distances{Datacentres: time.Millisecond, Regions: 30 * time.Millisecond, RegionBits: regionLinkBits},
		Model:     "repair-7b", PlainRole: "booking",
		Services: []config.Service{
			service("repair-guide", "repair-7b", 1, false), service("triage", "repair-7b", 0, true), plainService("booking", "booking"),
		},
		Classes: []Class{
			{Name: "guide", Service: "repair-guide", Kind: KindLong, Share: 0.4, Median: 70, Sigma: 0.6, Stragglers: 0.02, StragglerFactor: 6, Prompt: 160},
			{Name: "triage", Service: "triage", Kind: KindShort, Share: 0.4, Median: 6, Sigma: 0.3, Prompt: 160},
			{Name: "status", Service: "booking", Kind: KindLookup, Share: 0.15},
			{Name: "deposit", Service: "booking", Kind: KindOnce, Share: 0.05},
		},
		Workspaces: workspaceShares,
	}
}

// Pwani returns the print shops: the crest and short work weigh most.
func Pwani() Deployment {
	d := Pedalia()
	d.Name = "pwani"
	d.Distances.Datacentres = 800 * time.Microsecond
	d.Model, d.PlainRole = "draft-7b", "ordering"
	d.Services = []config.Service{
		service("proof", "draft-7b", 1, false), service("tagging", "draft-7b", 0, true), plainService("ordering", "ordering"),
	}
	d.Classes = []Class{
		{Name: "proof", Service: "proof", Kind: KindLong, Share: 0.3, Median: 70, Sigma: 0.7, Stragglers: 0.03, StragglerFactor: 6, Prompt: 120},
		{Name: "tagging", Service: "tagging", Kind: KindShort, Share: 0.4, Median: 4, Sigma: 0.3, Prompt: 60},
		{Name: "lookup", Service: "ordering", Kind: KindLookup, Share: 0.24},
		{Name: "payment", Service: "ordering", Kind: KindOnce, Share: 0.06},
	}
	return d
}

// ByName returns a deployment.
func ByName(name string) (Deployment, bool) {
	switch name {
	case "pedalia":
		return Pedalia(), true
	case "pwani":
		return Pwani(), true
	}
	return Deployment{}, false
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i+1) }

func workspaceKey(i int) string { return fmt.Sprintf("load-key-%d", i+1) }

// Documents returns the configuration of the deployment.
func (d *Deployment) Documents() []config.Document {
	doc := config.Document{Name: d.Name, Services: d.Services}
	for i := range d.Workspaces {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: workspaceName(i), Weight: 1, KeyHashes: []string{config.HashKey(workspaceKey(i))},
		})
	}
	return []config.Document{doc}
}
