package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/platform"
)

// Times of the drills, in which the store is away and comes back from an older copy.
const (
	copyPeriod = 250 * time.Millisecond
	maxCopyAge = 8 * time.Second
	minAway    = 100 * time.Millisecond
	maxAway    = 900 * time.Millisecond
	// rewriteTime is the time within which the operator and the workers write again what
	// they wrote.
	rewriteTime = 2 * time.Second
	// firstDrill is the shortest time until the first drill, drillPeriod that between two.
	// settleTime is the time after which all changes are in force again.
	firstDrill  = 2 * time.Second
	drillPeriod = 11 * time.Second
	settleTime  = rewriteTime + changeLimit
	// entryPeriod is the time between two writes of a worker whose entry is leased; the entry
	// ends after three of them without a write.
	entryPeriod = time.Second
	entryTTL    = 3 * entryPeriod
)

// lostBursts are numbers of writes that follow each other just before a drill. Without them,
// what is written again would raise the revision above the old one at once.
var lostBursts = []int{0, 199, 199, 2000}

// drills records what the operator and the workers wrote, and the drills that lost it.
type drills struct {
	mu sync.Mutex
	// values holds the last value of each key, nil for a removed one.
	values map[string][]byte
	// rewrites holds the times at which a key was written again, configured the time at
	// which each version of the configuration was written, and left that at which each
	// worker's leaving was.
	rewrites   map[string][]time.Time
	configured map[int]time.Time
	left       map[string]time.Time
	// silent holds the times at which workers wrote their leased entries for the last time.
	silent  map[string]time.Time
	copies  []timedCopy
	outages []outage
	// leased makes the entries of workers end by leases. isAway is set while they can't write.
	leased, isAway bool
}

type timedCopy struct {
	at    time.Time
	state *platformtest.StoreCopy
}

// outage is a time without the store. lostUntil is the time up to which writes were lost,
// zero if none were.
type outage struct{ from, lostUntil, to time.Time }

func newDrills() *drills {
	return &drills{values: map[string][]byte{}, rewrites: map[string][]time.Time{}, configured: map[int]time.Time{}, left: map[string]time.Time{}, silent: map[string]time.Time{}}
}

// put writes a key as the operator or a worker does, remove removes it.
func (f *fleet) put(key string, value []byte) {
	f.drills.mu.Lock()
	defer f.drills.mu.Unlock()
	f.drills.values[key] = value
	f.write(key, value)
}

// write writes a key, that of a worker under a lease if entries are leased. The caller holds
// the lock of the drills.
func (f *fleet) write(key string, value []byte) {
	if f.drills.leased && strings.HasPrefix(key, platform.TargetPrefix) {
		f.store.PutForTime(key, value, entryTTL)
		return
	}
	f.store.Put(key, value)
}

// keepEntries writes the entries of the workers again and again until ctx ends.
func (f *fleet) keepEntries(ctx context.Context) {
	d := f.drills
	for ; ctx.Err() == nil; time.Sleep(entryPeriod) {
		d.mu.Lock()
		for key, value := range d.values {
			if value != nil && !d.isAway && strings.HasPrefix(key, platform.TargetPrefix) {
				f.write(key, value)
			}
		}
		d.mu.Unlock()
	}
}

// silenceWorker lets one worker write its entry no more, and starts another one in its place.
// It serves on until the run ends.
func (f *fleet) silenceWorker() {
	f.mu.Lock()
	var w *plainWorker
	for _, w = range f.workers {
		break
	}
	delete(f.workers, w.id)
	f.mu.Unlock()
	f.note("worker %s writes no more", w.id)
	f.addWorker(w.service)
	f.drills.mu.Lock()
	defer f.drills.mu.Unlock()
	f.drills.values[platform.TargetPrefix+w.id] = nil
	f.drills.silent[w.id] = time.Now()
}

func (f *fleet) remove(key string) {
	f.drills.mu.Lock()
	defer f.drills.mu.Unlock()
	f.drills.values[key] = nil
	f.store.Delete(key)
}

// putAgain writes a key again after the store's return.
func (f *fleet) putAgain(key string) {
	d := f.drills
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Now()
	switch value := d.values[key]; {
	case value != nil:
		f.write(key, value)
	case d.leased:
		// Nobody removes an entry that the copy has brought back: it ends by its lease.
		at = at.Add(entryTTL)
	default:
		f.store.Delete(key)
	}
	d.rewrites[key] = append(d.rewrites[key], at)
}

// keepCopies copies the store until the end.
func (f *fleet) keepCopies(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(copyPeriod) {
		f.drills.mu.Lock()
		f.drills.copies = append(f.drills.copies, timedCopy{time.Now(), f.store.Copy()})
		f.drills.copies = slices.DeleteFunc(f.drills.copies, func(c timedCopy) bool { return time.Since(c.at) > maxCopyAge })
		f.drills.mu.Unlock()
	}
}

// runDrills lets the store be away for a moment and come back from an older copy, again and
// again until the end. Half of the drills are followed by another one before what was
// lost has been written again.
func (f *fleet) runDrills(random *rand.Rand, end time.Time) {
	pause := firstDrill
	for time.Now().Add(pause + settleTime).Before(end) {
		time.Sleep(pause + time.Duration(random.Int64N(int64(2*time.Second))))
		f.runDrill(random)
		if random.IntN(2) == 0 {
			time.Sleep(time.Duration(random.Int64N(int64(rewriteTime))))
			f.runDrill(random)
		}
		pause = drillPeriod
	}
}

func (f *fleet) runDrill(random *rand.Rand) {
	d := f.drills
	d.mu.Lock()
	// One of the older half.
	c, keys := d.copies[random.IntN(len(d.copies)/2+1)], []string{}
	for key, value := range d.values {
		if value != nil && strings.HasPrefix(key, platform.TargetPrefix) {
			keys = append(keys, key)
		}
	}
	d.mu.Unlock()
	slices.Sort(keys)
	burst, key := lostBursts[random.IntN(len(lostBursts))], keys[random.IntN(len(keys))]
	for range burst {
		f.putAgain(key)
	}
	// The gateways have read the last of the lost writes in some drills only.
	time.Sleep(time.Duration(random.Int64N(int64(maxAway))))
	away := minAway + time.Duration(random.Int64N(int64(maxAway-minAway)))
	f.note("store away for %v, comes back from a copy %v old, %d more writes lost", away, time.Since(c.at), burst)
	d.setAway(true)
	o := outage{from: time.Now()}
	f.store.SetFaults(platformtest.StoreFaults{ServiceUnavailable: true, PauseLeases: d.leased && random.IntN(2) == 0})
	time.Sleep(away / 2)
	d.mu.Lock()
	f.store.Restore(c.state)
	o.lostUntil = time.Now()
	d.copies = []timedCopy{c}
	keys = keys[:0]
	for key := range d.values {
		keys = append(keys, key)
	}
	d.mu.Unlock()
	time.Sleep(away / 2)
	f.store.SetFaults(platformtest.StoreFaults{})
	o.to = time.Now()
	d.setAway(false)
	d.mu.Lock()
	d.outages = append(d.outages, o)
	d.mu.Unlock()
	slices.Sort(keys)
	for _, key := range keys {
		time.AfterFunc(time.Duration(random.Int64N(int64(rewriteTime))), func() { f.putAgain(key) })
	}
}

func (d *drills) setAway(isAway bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isAway = isAway
}

// isGone reports whether a worker whose last write was made at a time must be gone for a
// gateway when a request is sent. A copy may bring its entry back with all of its time.
func (d *drills) isGone(lastWrite, sentAt time.Time) bool {
	ended := lastWrite.Add(entryTTL)
	for _, o := range d.outages {
		if back := o.to.Add(entryTTL); o.from.Before(sentAt) && back.After(ended) {
			ended = back
		}
	}
	return sentAt.After(ended.Add(changeLimit))
}

// inForce reports whether a change to a key that was written at a time must be in force when
// a request is sent.
func (d *drills) inForce(key string, writtenAt, sentAt time.Time) bool {
	since := writtenAt
	for _, o := range d.outages {
		if o.from.After(sentAt) {
			continue
		}
		if writtenAt.Before(o.lostUntil) {
			i := slices.IndexFunc(d.rewrites[key], func(at time.Time) bool { return at.After(o.lostUntil) })
			if i < 0 {
				return false
			}
			since = d.rewrites[key][i]
		}
		if o.to.After(since) {
			since = o.to
		}
	}
	return sentAt.After(since.Add(changeLimit))
}

// newestRoute returns the route of the newest configuration that was written longer ago than
// the limit of a change.
func (f *fleet) newestRoute() string {
	d := f.drills
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := 0
	for version, at := range d.configured {
		if version > newest && time.Since(at) > changeLimit {
			newest = version
		}
	}
	return versionRoute(newest)
}

// firstVersionRoute is the first version of the configuration that adds a route.
const firstVersionRoute = 2

// versionRoute returns the route that a version of the configuration adds, "" for none.
func versionRoute(version int) string {
	if version < firstVersionRoute {
		return ""
	}
	return fmt.Sprintf("version%d", version)
}

// judgeChanges returns the requests that were refused as an older configuration refuses
// them, and those that reached a worker whose leaving was known.
func (f *fleet) judgeChanges(exchanges []exchange) []finding {
	d := f.drills
	d.mu.Lock()
	defer d.mu.Unlock()
	var findings []finding
	for i := range exchanges {
		e := &exchanges[i]
		if e.gateway.disturbedAt(e.startedAt) {
			continue
		}
		if e.route != "" && e.status == http.StatusNotFound {
			for version, at := range d.configured {
				if versionRoute(version) == e.route && d.inForce(platform.ConfigKey, at, e.startedAt) {
					findings = append(findings, finding{"CONFIG", fmt.Sprintf("%s at %s: route %s refused, written %.1f s before", e.id, e.gateway.name, e.route, e.startedAt.Sub(at).Seconds()), e})
				}
			}
		}
		for _, a := range f.log.of(e.id) {
			if at, ok := d.left[a.worker]; ok && d.inForce(platform.TargetPrefix+a.worker, at, e.startedAt) {
				findings = append(findings, finding{"DRAIN", fmt.Sprintf("%s at %s reached %s, whose leaving was written %.1f s before", e.id, e.gateway.name, a.worker, e.startedAt.Sub(at).Seconds()), e})
			}
			if at, ok := d.silent[a.worker]; ok && d.isGone(at, e.startedAt) {
				findings = append(findings, finding{"DRAIN", fmt.Sprintf("%s at %s reached %s, which wrote its entry for the last time %.1f s before", e.id, e.gateway.name, a.worker, e.startedAt.Sub(at).Seconds()), e})
			}
		}
	}
	return findings
}

// disturbedAt reports whether the process was stopped, suspended or started again so shortly
// before that a change need not be in force.
func (g *gateway) disturbedAt(at time.Time) bool {
	h := g.history()
	for _, signal := range slices.Concat(h.stops, h.kills, h.resumes) {
		if signal.Before(at) && signal.Add(changeLimit).After(at) {
			return true
		}
	}
	return false
}

// drillKinds are the disturbances beside drills. A process that was started again reads the
// store anew, so restarts are few.
const drillKinds = "config,config,config,config,leave,leave,leave,leave,pause,hup,term,kill"

// TestDrillSoak guards against gateways that keep an old state, or lose requests, when the
// store comes back from an older copy while processes restart and changes are made.
func TestDrillSoak(t *testing.T) {
	for i := range max(1, *seedCount/2) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, seed, drillKinds, drillMode{drills: true}) })
	}
}

// TestLeasedDrillSoak is like TestDrillSoak with entries of workers that end by their leases, and
// with workers that stop writing their entries.
func TestLeasedDrillSoak(t *testing.T) {
	for i := range max(1, *seedCount/2) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			runSoak(t, seed, drillKinds+",silence,silence,silence", drillMode{drills: true, leased: true})
		})
	}
}

// drillMode says whether a run has drills of the store, and entries that end by leases.
type drillMode struct{ drills, leased bool }
