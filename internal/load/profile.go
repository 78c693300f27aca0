// Package load measures a fleet with an open-loop load: it sends a deployment's
// mix of requests at scheduled times that do not depend on the responses, and
// reports latency, goodput and errors from the callers' side.
package load

import (
	"fmt"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/wan"
)

// Kind determines how a class of requests is sent and measured.
type Kind string

// Kinds of request classes.
const (
	// KindLong is a generation whose length varies widely.
	KindLong Kind = "long"
	// KindShort is a generation of a few tokens.
	KindShort Kind = "short"
	// KindLookup is an idempotent call of a plain service.
	KindLookup Kind = "lookup"
	// KindNonIdempotent is a non-idempotent call of a plain service.
	KindNonIdempotent Kind = "once"
)

// Class describes one kind of request in a deployment's mix.
type Class struct {
	Name    string
	Service string
	Kind    Kind
	// Share is the fraction of all requests that are of this class.
	Share float64
	// MedianTokens is the median of the log-normal distribution of output lengths,
	// in tokens.
	MedianTokens float64
	// Sigma is the standard deviation of the natural logarithm of the output length.
	Sigma float64
	// StragglerShare is the fraction of requests whose output is StragglerFactor
	// times as long as the distribution gives.
	StragglerShare  float64
	StragglerFactor float64
	// PromptTokens is the mean prompt length in tokens.
	PromptTokens int
}

// Deployment describes the fleet of one user and its mix of requests. Engines,
// Plains and Entries are the locations of the processes.
type Deployment struct {
	Name    string
	Engines []wan.Location
	Plains  []wan.Location
	Entries []wan.Location
	// EntryShare is the fraction of requests that each entry receives.
	EntryShare []float64
	Distances  wan.Distances
	Model      string
	PlainRole  string
	Services   []config.Service
	Classes    []Class
	// Workspaces is the fraction of requests of each workspace.
	Workspaces []float64
}

const (
	// maxOutputTokens limits the output length of a generation.
	maxOutputTokens = 700
	// queueTimeoutMillis, timeoutMillis and resumeMillis are the QueueMillis,
	// TimeoutMillis and ResumeMillis of the services.
	queueTimeoutMillis = 5000
	timeoutMillis      = 60_000
	resumeMillis       = 2000
	// regionBitsPerSecond is the bandwidth between two regions in each direction.
	regionBitsPerSecond = 30e6
)

// workspaceShares are the fractions of all requests that ten workspaces send; a few
// of the workspaces are large.
var workspaceShares = []float64{0.28, 0.2, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03}

// locations returns one location for each VM of a region; counts are the numbers of
// VMs in the region's data centres.
func locations(region string, counts ...int) []wan.Location {
	var out []wan.Location
	for i, n := range counts {
		for range n {
			out = append(out, wan.Location{Datacentre: fmt.Sprintf("%s-%d", region, i+1), Region: region})
		}
	}
	return out
}

func modelService(name, model string, priority int, short bool) config.Service {
	return config.Service{
		Name: name, Kind: config.KindModel, Model: model, Priority: priority, Short: short,
		QueueMillis: queueTimeoutMillis, TimeoutMillis: timeoutMillis, ResumeMillis: resumeMillis,
	}
}

func plainService(name, role string) config.Service {
	return config.Service{
		Name: name, Kind: config.KindPlain, Role: role, IdempotentMethods: []string{"GET"}, AtMostOnceMethods: []string{"POST"},
		QueueMillis: queueTimeoutMillis, TimeoutMillis: timeoutMillis,
	}
}

// Pedalia returns the deployment of a repair shop, which mainly generates long
// repair guides.
func Pedalia() Deployment {
	return Deployment{
		Name:    "pedalia",
		Engines: append(locations("central", 4, 4), locations("west", 4)...),
		Plains:  append(locations("central", 1, 1), locations("west", 1)...),
		Entries: append(locations("central", 1, 1), locations("west", 1)...), EntryShare: []float64{0.35, 0.35, 0.3},
		Distances: wan.Distances{DatacentreDelay: time.Millisecond, RegionDelay: 30 * time.Millisecond, RegionBitsPerSecond: regionBitsPerSecond},
		Model:     "repair-7b", PlainRole: "booking",
		Services: []config.Service{
			modelService("repair-guide", "repair-7b", 1, false), modelService("triage", "repair-7b", 0, true), plainService("booking", "booking"),
		},
		Classes: []Class{
			{Name: "guide", Service: "repair-guide", Kind: KindLong, Share: 0.4, MedianTokens: 70, Sigma: 0.6, StragglerShare: 0.02, StragglerFactor: 6, PromptTokens: 160},
			{Name: "triage", Service: "triage", Kind: KindShort, Share: 0.4, MedianTokens: 6, Sigma: 0.3, PromptTokens: 160},
			{Name: "status", Service: "booking", Kind: KindLookup, Share: 0.15},
			{Name: "deposit", Service: "booking", Kind: KindNonIdempotent, Share: 0.05},
		},
		Workspaces: workspaceShares,
	}
}

// Pwani returns the deployment of a chain of print shops, for which peak load and
// short work matter most.
func Pwani() Deployment {
	d := Pedalia()
	d.Name = "pwani"
	d.Distances.DatacentreDelay = 800 * time.Microsecond
	d.Model, d.PlainRole = "draft-7b", "ordering"
	d.Services = []config.Service{
		modelService("proof", "draft-7b", 1, false), modelService("tagging", "draft-7b", 0, true), plainService("ordering", "ordering"),
	}
	d.Classes = []Class{
		{Name: "proof", Service: "proof", Kind: KindLong, Share: 0.3, MedianTokens: 70, Sigma: 0.7, StragglerShare: 0.03, StragglerFactor: 6, PromptTokens: 120},
		{Name: "tagging", Service: "tagging", Kind: KindShort, Share: 0.4, MedianTokens: 4, Sigma: 0.3, PromptTokens: 60},
		{Name: "lookup", Service: "ordering", Kind: KindLookup, Share: 0.24},
		{Name: "payment", Service: "ordering", Kind: KindNonIdempotent, Share: 0.06},
	}
	return d
}

// DeploymentByName returns the deployment of the given name, or false if there is none.
func DeploymentByName(name string) (Deployment, bool) {
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

// Documents returns the configuration documents of the deployment.
func (d *Deployment) Documents() []config.Document {
	doc := config.Document{Name: d.Name, Services: d.Services}
	for i := range d.Workspaces {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: workspaceName(i), Weight: 1, KeyHashes: []string{config.HashKey(workspaceKey(i))},
		})
	}
	return []config.Document{doc}
}
