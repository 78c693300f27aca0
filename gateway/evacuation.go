package gateway

import (
	"maps"
	"strings"
	"sync/atomic"

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
}

// evacuated maps each evacuated data centre to the store revision of its key. It is
// immutable.
type evacuated map[string]int64

var _ kvstore.Follower = (*evacuations)(nil)

func newEvacuations(prefix string, regions map[string]string, logger log.Logger) *evacuations {
	e := &evacuations{prefix: prefix, regions: regions, logger: logger}
	e.current.Store(&evacuated{})
	return e
}

// includes reports whether a data centre is evacuated.
func (e *evacuations) includes(datacentre string) bool {
	_, ok := (*e.current.Load())[datacentre]
	return ok
}

// count returns the number of evacuated data centres.
func (e *evacuations) count() int64 { return int64(len(*e.current.Load())) }

// Reset implements kvstore.Follower. Evacuations whose keys are missing have ended.
func (e *evacuations) Reset(kvs []kvstore.KV, _ int64) {
	next := evacuated{}
	for i := range kvs {
		e.put(next, &kvs[i])
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
	next[datacentre] = kv.ModRevision
}

func (e *evacuations) apply(next evacuated) {
	before := *e.current.Load()
	e.current.Store(&next)
	for datacentre, revision := range next {
		if _, ok := before[datacentre]; !ok {
			telemetry.Info(e.logger, "evacuation in force", "datacentre", datacentre, "revision", revision)
		}
	}
	for datacentre := range before {
		if _, ok := next[datacentre]; !ok {
			telemetry.Info(e.logger, "evacuation ended", "datacentre", datacentre)
		}
	}
}
