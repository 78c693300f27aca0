package gateway

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// eligibility decides which targets may receive a request, its body or its KV cache. It
// reads the configuration once, the evacuations at each call.
type eligibility struct {
	regions     routing.Regions
	regionOf    map[string]string
	evacuations *evacuations
}

// eligibility returns the rule for a request at this moment. The constraint of the
// configuration at the request's arrival and that of the one in force both apply, so that
// a change never widens what a request in progress may use.
func (g *Gateway) eligibility(req *request) eligibility {
	e := eligibility{regions: req.regions, regionOf: g.opts.Regions, evacuations: g.evacuations}
	if table := g.table.Load(); table != nil && table.Version != req.configVersion {
		e.regions = e.regions.Intersect(table.RegionsFor(req.upstream.Host, req.path, req.workspace))
	}
	return e
}

// isRestricted reports whether any target may be excluded.
func (e *eligibility) isRestricted() bool { return e.regions.IsLimited() || e.evacuations.count() > 0 }

func (e *eligibility) allowsRegionOf(t *registry.Target) bool {
	return !e.regions.IsLimited() || e.regions.Allows(e.regionOf[t.Datacentre])
}

// allows reports whether a target may receive the request.
func (e *eligibility) allows(t *registry.Target) bool {
	return e.allowsRegionOf(t) && !e.evacuations.includes(t.Datacentre)
}

var errTargetNotEligible = errors.New("the target's region is not allowed or its data centre is evacuated")

// ineligibleError returns the error for a request that has not run and none of whose targets
// is eligible, nil if one is or if there are no targets.
func (g *Gateway) ineligibleError(req *request) *result.Error {
	e := g.eligibility(req)
	if !e.isRestricted() {
		return nil
	}
	ready := g.targets.Snapshot().Ready(req.service.Name)
	inRegion := 0
	for _, t := range ready {
		if e.allows(t) {
			return nil
		}
		if e.allowsRegionOf(t) {
			inRegion++
		}
	}
	switch {
	case inRegion > 0:
		return result.New(result.Evacuated, result.RanNo, "all data centres with a target are evacuated").RetryAfter(noTargetRetryAfter)
	case len(ready) > 0:
		return result.New(result.RegionUnavailable, result.RanNo, "no target is in an allowed region").RetryAfter(noTargetRetryAfter)
	}
	return nil
}

// pickService chooses a service of the request's route by the weights of its backends. Where
// targets are excluded, only services with an eligible target count.
func (g *Gateway) pickService(req *request) string {
	e := g.eligibility(req)
	if !e.isRestricted() {
		return req.route.PickService(rand.Float64())
	}
	snapshot := g.targets.Snapshot()
	return req.route.PickServiceFrom(rand.Float64(), func(service string) bool {
		return slices.ContainsFunc(snapshot.Ready(service), e.allows)
	})
}

// logUnknownRegions logs and counts the regions in a configuration that no data centre has.
// No target is in such a region, so a constraint that names it allows nothing more.
func (g *Gateway) logUnknownRegions(table *routing.Table) {
	known := map[string]bool{}
	for _, region := range g.opts.Regions {
		known[region] = true
	}
	for name := range table.LimitedRegions() {
		if !known[name] {
			g.unknownRegions.Add(1)
			telemetry.Warn(g.opts.Logger, "configuration names an unknown region", "region", name, "config_version", table.Version)
		}
	}
}
