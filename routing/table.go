// Package routing defines the immutable table that maps requests to services.
// The table holds the routes by host and path prefix, the services, the
// workspaces with their API keys, and the limits of client connections. A Table
// may be read from any goroutine.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind is the kind of the requests of a route. It determines whether a request
// may be sent to a target again after an attempt that may have run.
type Kind int

// The kinds of requests. A stream is non-idempotent unless its route is resumable.
const (
	Idempotent Kind = iota
	NonIdempotent
	Stream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// Backend is a service of a route. Weight is its share of the requests,
// relative to the other backends of the route.
type Backend struct {
	Service string
	Weight  float64
}

// Route defines how requests with one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams are idempotent: another target may run the request again and
	// continue after the last event that the client has received.
	Resumable bool
	// Public routes accept requests without an API key.
	Public bool
	// Timeout limits the time from the arrival of a request to the end of its
	// response.
	Timeout time.Duration
	// TargetLatency is the latency objective for the response, or for the first
	// event of a stream.
	TargetLatency time.Duration
	// InterTokenTarget is the objective for the inter-token latency, that is the time
	// between two events of a stream.
	InterTokenTarget time.Duration
	// MaxAttempts limits the attempts of a request. Only attempts that may have run
	// count.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Backends []Backend
	// AllowedRegions are the regions in which the route's requests may be served and
	// their data may be held.
	AllowedRegions Regions
}

// PickService returns the name of a service, chosen by the weights of the backends. u
// is uniform in [0, 1).
func (r *Route) PickService(u float64) string { return pickBackend(r.Backends, u) }

// PickServiceFrom is like PickService for the backends whose service is usable. If none is,
// it chooses from all of them.
func (r *Route) PickServiceFrom(u float64, usable func(service string) bool) string {
	backends := make([]Backend, 0, len(r.Backends))
	for _, b := range r.Backends {
		if b.Weight > 0 && usable(b.Service) {
			backends = append(backends, b)
		}
	}
	if len(backends) == 0 {
		backends = r.Backends
	}
	return pickBackend(backends, u)
}

func pickBackend(backends []Backend, u float64) string {
	var total float64
	for i := range backends {
		total += backends[i].Weight
	}
	u *= total
	for i := range backends {
		if u -= backends[i].Weight; u < 0 {
			return backends[i].Service
		}
	}
	return backends[len(backends)-1].Service
}

// Engine describes the inference engines of a service. Slots is the number of
// requests that an engine runs at the same time.
type Engine struct {
	Slots int
	// KVCapacityTokens is the size of an engine's KV cache, in tokens.
	KVCapacityTokens int
	// CanMigrate reports whether an engine can migrate a running request to another
	// engine.
	CanMigrate bool
	// CanBackUp reports whether an engine can back up the KV cache of a running
	// request continuously on another engine.
	CanBackUp bool
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken float64
	// LinkMbps is the rate at which engines copy KV caches, in megabits per second,
	// 0 if unknown.
	LinkMbps float64
}

// CopyMillisPerToken returns the time for copying the KV cache of one token, in
// milliseconds, 0 if unknown.
func (e *Engine) CopyMillisPerToken() float64 {
	if e.LinkMbps == 0 {
		return 0
	}
	const bitsPerByte, bitsPerMillisecond = 8, 1000
	return e.KVBytesPerToken * bitsPerByte / (e.LinkMbps * bitsPerMillisecond)
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a target accepts from all
	// processes together, 0 if unknown.
	MaxConnections int
	// Engine is nil if the targets of the service are not inference engines.
	Engine *Engine
	// ColdStart is how long a target is cold after it starts during traffic, ColdPerSecond
	// the requests per second that a cold target can handle; 0 means no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// ColdIgnored is set if a value of ColdStart or ColdPerSecond in the configuration is
	// out of range.
	ColdIgnored bool
}

// Workspace is a tenant that sends requests. Its API keys identify it.
type Workspace struct {
	Name    string
	APIKeys []string
	// Priority, if set, takes precedence over the priority of the route.
	Priority *int
	// AllowedRegions limits the regions of the workspace's requests in addition to the
	// limit of the route.
	AllowedRegions Regions
}

// Access defines who may send requests.
type Access struct {
	// KeysRequired is set if requests need the API key of a workspace, also if no workspace has
	// one. It is independent of the number of workspaces.
	KeysRequired bool
	Workspaces   []Workspace
}

// Limits are the limits of client connections: the sizes of the header and the
// body of a request, in bytes, the timeout for the header, and the idle
// timeout.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version int64
	Limits  Limits
	// KeysRequired is set if requests need an API key, except those of public routes.
	KeysRequired    bool
	routesByHost    map[string][]*Route
	services        map[string]*Service
	workspacesByKey map[string]*Workspace
	// workspaceRegions holds the regions by the name of the workspace.
	workspaceRegions map[string]Regions
	mostUrgent       map[string]*Route
}

// NewTable returns a table with the given contents. It keeps references to the
// slices, so the caller must not modify them afterwards. An empty API key is ignored: a
// request without a key would have it.
func NewTable(version int64, routes []Route, services []Service, access Access, limits Limits) *Table {
	workspaces := access.Workspaces
	t := &Table{
		Version: version, Limits: limits, KeysRequired: access.KeysRequired,
		routesByHost: map[string][]*Route{}, services: map[string]*Service{}, workspacesByKey: map[string]*Workspace{},
		mostUrgent: map[string]*Route{}, workspaceRegions: map[string]Regions{},
	}
	for i := range routes {
		r := &routes[i]
		t.addUrgent(r)
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, hostRoutes := range t.routesByHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range workspaces {
		// Entries of one name may have different keys and limits.
		t.workspaceRegions[workspaces[i].Name] = t.workspaceRegions[workspaces[i].Name].Intersect(workspaces[i].AllowedRegions)
		for _, key := range workspaces[i].APIKeys {
			if key != "" {
				t.workspacesByKey[key] = &workspaces[i]
			}
		}
	}
	return t
}

// InheritCold replaces the cold figures of the services whose own ones are out of range by
// those of the previous table, and returns the names of these services. It must be called
// before the table is in use. previous may be nil.
func (t *Table) InheritCold(previous *Table) []string {
	var names []string
	for name, s := range t.services {
		if !s.ColdIgnored {
			continue
		}
		names = append(names, name)
		if previous == nil {
			continue
		}
		if before := previous.services[name]; before != nil {
			s.ColdStart, s.ColdPerSecond = before.ColdStart, before.ColdPerSecond
		}
	}
	sort.Strings(names)
	return names
}

func (t *Table) addUrgent(r *Route) {
	if r.Kind != Stream || r.TargetLatency == 0 {
		return
	}
	for _, b := range r.Backends {
		current := t.mostUrgent[b.Service]
		if current == nil || r.Priority < current.Priority || r.Priority == current.Priority && r.TargetLatency < current.TargetLatency {
			t.mostUrgent[b.Service] = r
		}
	}
}

// Match returns the route of a request: of the routes for its host, the one
// with the longest prefix of its path, compared byte for byte. Routes for the host with its port take
// precedence over routes for the host without it. Match returns nil if there is no
// route.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		hostname, _, _ := strings.Cut(host, ":")
		routes = t.routesByHost[hostname]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that an API key belongs to, nil if there is
// none.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// RegionsFor returns the regions in which a request with the given host, path and
// workspace name may be served. A route or workspace that the table does not hold sets no
// limit. If several workspaces have the name, all of their limits apply.
func (t *Table) RegionsFor(host, path, workspace string) Regions {
	var regions Regions
	if r := t.Match(host, path); r != nil {
		regions = r.AllowedRegions
	}
	if workspace == "" {
		return regions
	}
	return regions.Intersect(t.workspaceRegions[workspace])
}

// LimitedRegions returns the names of all regions to which routes and workspaces are limited.
func (t *Table) LimitedRegions() map[string]bool {
	names := map[string]bool{}
	add := func(r Regions) {
		for _, name := range r.Names() {
			names[name] = true
		}
	}
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			add(r.AllowedRegions)
		}
	}
	for _, w := range t.workspacesByKey {
		add(w.AllowedRegions)
	}
	return names
}

// Service returns the service with the given name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// MostUrgent returns the stream route of a service with the lowest priority number, and
// among those the one with the shortest latency objective; nil if there is none.
func (t *Table) MostUrgent(service string) *Route { return t.mostUrgent[service] }

// Priority returns the priority of a request on route r from workspace w, which
// may be nil.
func (t *Table) Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
