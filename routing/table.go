// Package routing holds the immutable table that maps requests to services:
// routes by host and path, the workspaces with their keys, and the limits of
// client connections. A Table may be read from any goroutine.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind tells how often a request may run.
type Kind int

// The kinds of request. A stream is non-idempotent.
const (
	Idempotent Kind = iota
	NonIdempotent
	Stream
)

// String names the kind for logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Public routes need no key.
	Public bool
	// Timeout bounds the time from the request's arrival to the end of its
	// answer; Target is the time in which an answer is on time (streams: its
	// first event) and MaxGap the longest pause between events that is on time.
	Timeout time.Duration
	Target  time.Duration
	MaxGap  time.Duration
	// MaxAttempts is the number of targets that may run one request.
	MaxAttempts int
	// Priority orders work; 0 is the most urgent.
	Priority int
	Backends []Backend
}

// Pick returns the service for a request. u is uniform in [0, 1).
func (r *Route) Pick(u float64) string {
	var total float64
	for i := range r.Backends {
		total += r.Backends[i].Weight
	}
	u *= total
	for i := range r.Backends {
		if u -= r.Backends[i].Weight; u < 0 {
			return r.Backends[i].Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the number of tokens that an engine's memory holds.
	MemoryTokens int
	// Moves and Backups tell whether the memory of a running request can be
	// copied to another engine, on demand and continuously.
	Moves   bool
	Backups bool
	// TokenBytes is the memory of one token, LinkMbps the rate in megabits a
	// second at which engines copy it, 0 if unknown.
	TokenBytes float64
	LinkMbps   float64
}

// CopyMillis returns the time in which the memory of one token is copied, in
// milliseconds, 0 if unknown.
func (e *Engine) CopyMillis() float64 {
	if e.LinkMbps == 0 {
		return 0
	}
	const bitsPerByte, bitsPerMillisecond = 8, 1000
	return e.TokenBytes * bitsPerByte / (e.LinkMbps * bitsPerMillisecond)
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a target accepts from
	// all processes together, 0 if unknown.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is who sends a request.
type Workspace struct {
	Name string
	Keys []string
	// Priority, if set, replaces the priority of routes.
	Priority *int
}

// Limits bound what clients may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version int64
	Limits  Limits
	// KeysRequired is set if the table holds workspaces; without any, requests
	// need no key.
	KeysRequired bool
	hosts        map[string][]*Route
	services     map[string]*Service
	byKey        map[string]*Workspace
}

// Build indexes the parts of a configuration.
func Build(version int64, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, KeysRequired: len(workspaces) > 0,
		hosts: map[string][]*Route{}, services: map[string]*Service{}, byKey: map[string]*Workspace{},
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			t.byKey[key] = &workspaces[i]
		}
	}
	return t
}

// Match returns the route of a request: the longest prefix of its host that
// begins the path. It returns nil if there is none.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := t.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = t.hosts[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the holder of a key, nil if nobody holds it.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// Service returns a service by name, nil if it is not declared.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Priority returns the priority of a workspace's request on a route.
func (t *Table) Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
