package gateway

import (
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// evacuations holds the data centres that the operator evacuates: their targets get no
// requests until the operator ends the evacuation. Streams that run there may end there. It
// implements kvstore.Follower. The state in force stays while the store is unavailable.
type evacuations struct {
	prefix string
	// regions maps the known data centres to their regions.
	regions map[string]string
	logger  log.Logger
	// unknown counts evacuations of data centres that the settings do not name.
	unknown atomic.Int64
	current atomic.Pointer[evacuated]
	// restores and ended are used only by the goroutine that follows the store. ended holds
	// the positions at which evacuations have ended, by data centre.
	restores kvstore.RestoreDetector
	ended    map[string]kvstore.Position
}

// evacuated maps each evacuated data centre to its evacuation. It is immutable.
type evacuated map[string]evacuation

// evacuation is the evacuation of a data centre. until is zero, or the time until which it is
// kept although a restore of the store has lost its key. from is zero, or the time until which it
// is not in force, since it had ended before the restore.
type evacuation struct {
	revision    int64
	from, until time.Time
}

func (e evacuation) isInForce(now time.Time) bool {
	return !now.Before(e.from) && (e.until.IsZero() || now.Before(e.until))
}

var _ kvstore.Follower = (*evacuations)(nil)

func newEvacuations(prefix string, regions map[string]string, logger log.Logger) *evacuations {
	e := &evacuations{prefix: prefix, regions: regions, logger: logger, ended: map[string]kvstore.Position{}}
	e.current.Store(&evacuated{})
	return e
}

// includes reports whether a data centre is evacuated.
func (e *evacuations) includes(datacentre string) bool {
	found, ok := (*e.current.Load())[datacentre]
	return ok && found.isInForce(time.Now())
}

// count returns the number of evacuated data centres.
func (e *evacuations) count() int64 {
	now := time.Now()
	n := int64(0)
	for _, found := range *e.current.Load() {
		if found.isInForce(now) {
			n++
		}
	}
	return n
}

// Reset implements kvstore.Follower. Evacuations whose keys are missing have ended, unless
// the store has been restored: the operator then has time to write them again. For the same time,
// a restore does not bring back evacuations that had ended.
func (e *evacuations) Reset(kvs []kvstore.KV, position kvstore.Position) {
	isRestored := e.restores.Reset(position)
	next := evacuated{}
	for i := range kvs {
		e.put(next, &kvs[i])
	}
	now := time.Now()
	for datacentre, found := range next {
		if at, ok := e.ended[datacentre]; ok && isRestored && at.Era < position.Era && found.revision < at.Revision {
			found.from = now.Add(kvstore.RecoveryGrace)
			next[datacentre] = found
			telemetry.Warn(e.logger, "evacuation held after a restore of the store", "datacentre", datacentre, "era", position.Era, "revision", found.revision)
		}
	}
	for datacentre, found := range *e.current.Load() {
		if _, listed := next[datacentre]; listed || !found.isInForce(now) {
			continue
		}
		if isRestored {
			found.until = now.Add(kvstore.RecoveryGrace)
			telemetry.Warn(e.logger, "evacuation kept after a restore of the store", "datacentre", datacentre, "era", position.Era, "revision", found.revision)
		}
		if !found.until.IsZero() {
			next[datacentre] = found
			continue
		}
		e.ended[datacentre] = position
	}
	e.apply(next)
}

// Apply implements kvstore.Follower.
func (e *evacuations) Apply(batch kvstore.WatchBatch) {
	if len(batch.Events) == 0 {
		return
	}
	next := maps.Clone(*e.current.Load())
	for i := range batch.Events {
		kv := &batch.Events[i].KV
		datacentre := strings.TrimPrefix(kv.Key, e.prefix)
		if batch.Events[i].Deleted {
			delete(next, datacentre)
			e.ended[datacentre] = kvstore.Position{Era: batch.Era, Revision: kv.ModRevision}
			continue
		}
		e.put(next, kv)
	}
	e.apply(next)
}

// Disconnected implements kvstore.Follower.
func (e *evacuations) Disconnected(error) {}

// put adds the evacuation of a key. One of an unknown data centre is kept: targets there
// would not be used by mistake once the data centre is known.
func (e *evacuations) put(next evacuated, kv *kvstore.KV) {
	datacentre := strings.TrimPrefix(kv.Key, e.prefix)
	if datacentre == "" {
		e.unknown.Add(1)
		telemetry.Warn(e.logger, "evacuation without a data centre ignored", "revision", kv.ModRevision)
		return
	}
	if _, known := e.regions[datacentre]; !known && !e.includes(datacentre) {
		e.unknown.Add(1)
		telemetry.Warn(e.logger, "evacuation of an unknown data centre", "datacentre", datacentre, "revision", kv.ModRevision)
	}
	next[datacentre] = evacuation{revision: kv.ModRevision}
}

func (e *evacuations) apply(next evacuated) {
	before := *e.current.Load()
	e.current.Store(&next)
	for datacentre, found := range next {
		if _, ok := before[datacentre]; !ok && found.from.IsZero() {
			telemetry.Info(e.logger, "evacuation in force", "datacentre", datacentre, "revision", found.revision)
		}
	}
	for datacentre := range before {
		if _, ok := next[datacentre]; !ok {
			telemetry.Info(e.logger, "evacuation ended", "datacentre", datacentre)
		}
	}
}
