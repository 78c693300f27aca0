package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/peer"
)

// inForceBound is the promised time until a version is in force everywhere.
const inForceBound = 5 * time.Second

// versionHistory records the versions that each process shows.
type versionHistory struct {
	t       *testing.T
	mu      sync.Mutex
	highest map[string]int64
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// watchVersions polls every daemon until the test ends and fails the test if
// one steps back.
func (f *fleet) watchVersions() *versionHistory {
	ctx, stop := context.WithCancel(context.Background())
	h := &versionHistory{t: f.t, highest: map[string]int64{}, stop: stop}
	for _, p := range f.daemons() {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			for ctx.Err() == nil {
				h.poll(ctx, p)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	f.t.Cleanup(h.end)
	return h
}

func (h *versionHistory) end() {
	h.stop()
	h.wg.Wait()
}

func (h *versionHistory) poll(ctx context.Context, p *process) {
	pid := p.pid()
	v := configVersion(ctx, p)
	if v < 0 || pid != p.pid() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := fmt.Sprintf("%s/%d", p.name, pid)
	if v < h.highest[key] {
		h.t.Errorf("%s steps back from version %d to %d", key, h.highest[key], v)
	}
	h.highest[key] = max(v, h.highest[key])
}

// daemons returns all agents and entries.
func (f *fleet) daemons() []*process {
	var out []*process
	for _, tg := range f.targets {
		out = append(out, tg.agent)
	}
	return append(out, f.entries...)
}

// pid identifies the running incarnation of a daemon.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// configVersion returns the version that a daemon has in force, -1 if it does
// not answer.
func configVersion(ctx context.Context, p *process) int64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	st, err := peer.NewClient(http.DefaultClient, peer.Keys{fleetKey}).State(ctx, p.addr)
	if err != nil {
		return -1
	}
	return st.ConfigVersion
}

// checkUsed fails the test if a daemon used a version in a decision that it had
// not put into force before, or put a lower one into force after a higher.
func (f *fleet) checkUsed() {
	f.t.Helper()
	for _, p := range f.daemons() {
		adopted := map[int64]bool{}
		var last int64
		for _, line := range p.logged("config_version") {
			var entry struct {
				Message string `json:"msg"`
				Version int64  `json:"config_version"`
				Kind    string `json:"kind"`
			}
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			switch {
			case line == restartLine:
				adopted, last = map[int64]bool{}, 0
			case strings.HasPrefix(entry.Message, "configuration in force"):
				if entry.Version <= last {
					f.t.Errorf("%s puts version %d into force after %d", p.name, entry.Version, last)
				}
				last = entry.Version
				adopted[last] = true
			case entry.Kind == "route" && !adopted[entry.Version]:
				f.t.Errorf("%s used version %d before it was in force", p.name, entry.Version)
			}
		}
	}
}

// awaitVersion waits until the version is in force at the daemons and returns
// how long that took.
func (f *fleet) awaitVersion(version int64, daemons []*process) time.Duration {
	f.t.Helper()
	start := time.Now()
	eventually(f.t, startWait, fmt.Sprintf("version %d in force", version), func() bool {
		for _, p := range daemons {
			if configVersion(context.Background(), p) != version {
				return false
			}
		}
		return true
	})
	took := time.Since(start)
	if took > inForceBound {
		f.t.Errorf("version %d was in force everywhere after %v, bound %v", version, took, inForceBound)
	}
	f.t.Logf("version %d in force at %d daemons after %v", version, len(daemons), took.Round(time.Millisecond))
	return took
}

// variant returns the test configuration with a workspace of its own.
func variant(n int) []config.Document {
	docs := testDocuments()
	name := fmt.Sprintf("extra-%d", n)
	docs[0].Workspaces = append(docs[0].Workspaces, config.Workspace{Name: name, Weight: 1, KeyHashes: []string{config.HashKey(name)}})
	return docs
}

// TestConfigurationUnderFailures publishes while daemons are paused, killed
// and started and while the store is away.
func TestConfigurationUnderFailures(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 2, plains: 1, entries: 4, engine: fastEngine()})
	f.watchVersions()
	all := f.daemons()
	version := f.publish(variant(1))
	f.awaitVersion(version, all)

	// Every entry is paused in turn, so that each watcher is among them.
	for i, e := range f.entries {
		e.pause()
		version = f.publish(variant(10 + i))
		f.awaitVersion(version, without(all, e))
		e.resume()
		f.awaitVersion(version, all)
	}

	// The store is away: daemons that start take the version from others.
	f.store.SetFaults(standin.StoreFaults{Down: true})
	for _, p := range []*process{f.entries[0], f.entries[1], f.targets[0].agent} {
		p.kill()
		p.restart()
	}
	f.awaitVersion(version, all)
	f.generateOne(f.entries[0])

	// All but one daemon are replaced at once.
	for _, p := range all[:len(all)-1] {
		p.kill()
		p.restart()
	}
	f.awaitVersion(version, all)
	f.store.SetFaults(standin.StoreFaults{})
	version = f.publish(variant(20))
	f.awaitVersion(version, all)

	// The store answers slowly.
	f.store.SetFaults(standin.StoreFaults{DelayMillis: 500})
	version = f.publish(variant(21))
	f.awaitVersion(version, all)
	f.store.SetFaults(standin.StoreFaults{})
	f.generateOne(f.entries[1])
	f.checkUsed()
}

// generateOne waits until an entry serves.
func (f *fleet) generateOne(e *process) {
	f.t.Helper()
	eventually(f.t, startWait, e.name+" serves", func() bool {
		a := generate(context.Background(), e.addr, "triage", prompt("check", 5), nil, nil)
		return a.complete
	})
}

// without returns the daemons but one.
func without(all []*process, p *process) []*process {
	var out []*process
	for _, o := range all {
		if o != p {
			out = append(out, o)
		}
	}
	return out
}

// TestStoreGoesSilent lets every connection to the store go silent without an
// end while a version is published.
func TestStoreGoesSilent(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 1, entries: 2, engine: fastEngine()})
	f.watchVersions()
	f.awaitVersion(1, f.daemons())
	heal := f.storeProxy.toxic("timeout", "downstream", `"timeout":0`)
	version := f.publish(variant(1))
	time.Sleep(500 * time.Millisecond)
	heal()
	f.awaitVersion(version, f.daemons())
	f.checkUsed()
}
