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

// inForceLimit is the longest time that may pass from the publication of a
// configuration version until it is in force at every daemon.
const inForceLimit = 5 * time.Second

// versionWatcher records the highest configuration version that each incarnation
// of a daemon has reported.
type versionWatcher struct {
	t  *testing.T
	mu sync.Mutex
	// highest is keyed by the daemon's name and process id.
	highest map[string]int64
	pollers sync.WaitGroup
	cancel  context.CancelFunc
}

// watchVersions polls every daemon until the test ends. It fails the test if an
// incarnation of a daemon goes back to a lower configuration version.
func (f *fleet) watchVersions() *versionWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatcher{t: f.t, highest: map[string]int64{}, cancel: cancel}
	for _, p := range f.daemons() {
		w.pollers.Add(1)
		go func() {
			defer w.pollers.Done()
			for ctx.Err() == nil {
				w.poll(ctx, p)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	f.t.Cleanup(w.stop)
	return w
}

func (w *versionWatcher) stop() {
	w.cancel()
	w.pollers.Wait()
}

func (w *versionWatcher) poll(ctx context.Context, p *process) {
	pid := p.pid()
	version := configVersion(ctx, p)
	if version < 0 || pid != p.pid() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", p.name, pid)
	if version < w.highest[key] {
		w.t.Errorf("%s went back from version %d to %d", key, w.highest[key], version)
	}
	w.highest[key] = max(version, w.highest[key])
}

// daemons returns all agents and entries.
func (f *fleet) daemons() []*process {
	var daemons []*process
	for _, tg := range f.targets {
		daemons = append(daemons, tg.agent)
	}
	return append(daemons, f.entries...)
}

// pid returns the process id, which identifies the incarnation of a daemon.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPID
}

// configVersion returns the configuration version that is in force at a daemon, -1
// if the daemon does not answer.
func configVersion(ctx context.Context, p *process) int64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	state, err := peer.NewClient(http.DefaultClient, peer.Keys{fleetKey}).State(ctx, p.addr)
	if err != nil {
		return -1
	}
	return state.ConfigVersion
}

// checkVersionUse checks the daemons' logs. It fails the test if an incarnation
// used a configuration version for routing before putting it into force, or put a
// version into force that is not higher than its previous one.
func (f *fleet) checkVersionUse() {
	f.t.Helper()
	for _, p := range f.daemons() {
		inForce := map[int64]bool{}
		var lastVersion int64
		for _, line := range p.grepLog("config_version") {
			var record struct {
				Message string `json:"msg"`
				Version int64  `json:"config_version"`
				Kind    string `json:"kind"`
			}
			if json.Unmarshal([]byte(line), &record) != nil {
				continue
			}
			switch {
			case line == restartLine:
				inForce, lastVersion = map[int64]bool{}, 0
			case strings.HasPrefix(record.Message, "configuration in force"):
				if record.Version <= lastVersion {
					f.t.Errorf("%s put version %d into force after version %d", p.name, record.Version, lastVersion)
				}
				lastVersion = record.Version
				inForce[lastVersion] = true
			case record.Kind == "route" && !inForce[record.Version]:
				f.t.Errorf("%s used version %d before it was in force", p.name, record.Version)
			}
		}
	}
}

// awaitVersion waits until the configuration version is in force at the daemons and
// returns the elapsed time. It fails the test if that exceeds inForceLimit.
func (f *fleet) awaitVersion(version int64, daemons []*process) time.Duration {
	f.t.Helper()
	start := time.Now()
	eventually(f.t, startTimeout, fmt.Sprintf("version %d in force", version), func() bool {
		for _, p := range daemons {
			if configVersion(context.Background(), p) != version {
				return false
			}
		}
		return true
	})
	elapsed := time.Since(start)
	if elapsed > inForceLimit {
		f.t.Errorf("version %d was in force at all daemons after %v, limit %v", version, elapsed, inForceLimit)
	}
	f.t.Logf("version %d in force at %d daemons after %v", version, len(daemons), elapsed.Round(time.Millisecond))
	return elapsed
}

// documentsWithExtraWorkspace returns the test configuration with one more
// workspace, whose name contains n, so that each n yields a different configuration.
func documentsWithExtraWorkspace(n int) []config.Document {
	docs := testDocuments()
	name := fmt.Sprintf("extra-%d", n)
	docs[0].Workspaces = append(docs[0].Workspaces, config.Workspace{Name: name, Weight: 1, KeyHashes: []string{config.HashKey(name)}})
	return docs
}

// TestConfigurationUnderFailures publishes configuration versions while daemons are
// paused and while the store is slow, and restarts daemons while the store is
// unavailable. Every running daemon must put each version into force in time, and no
// incarnation may go back to a lower one.
func TestConfigurationUnderFailures(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 2, plainServices: 1, entries: 4, engineOptions: fastEngineOptions()})
	f.watchVersions()
	daemons := f.daemons()
	version := f.publish(documentsWithExtraWorkspace(1))
	f.awaitVersion(version, daemons)

	// Only some entries watch the store. Pause each entry in turn, so that each of
	// those that watch is paused once.
	for i, e := range f.entries {
		e.pause()
		version = f.publish(documentsWithExtraWorkspace(10 + i))
		f.awaitVersion(version, excluding(daemons, e))
		e.resume()
		f.awaitVersion(version, daemons)
	}

	// While the store is unavailable, starting daemons fetch the configuration
	// version from other daemons.
	f.store.SetFaults(standin.StoreFaults{AbortCalls: true})
	for _, p := range []*process{f.entries[0], f.entries[1], f.targets[0].agent} {
		p.kill()
		p.restart()
	}
	f.awaitVersion(version, daemons)
	f.awaitServing(f.entries[0])

	// All daemons but one restart at once.
	for _, p := range daemons[:len(daemons)-1] {
		p.kill()
		p.restart()
	}
	f.awaitVersion(version, daemons)
	f.store.SetFaults(standin.StoreFaults{})
	version = f.publish(documentsWithExtraWorkspace(20))
	f.awaitVersion(version, daemons)

	// The store is slow.
	f.store.SetFaults(standin.StoreFaults{DelayMillis: 500})
	version = f.publish(documentsWithExtraWorkspace(21))
	f.awaitVersion(version, daemons)
	f.store.SetFaults(standin.StoreFaults{})
	f.awaitServing(f.entries[1])
	f.checkVersionUse()
}

// awaitServing waits until a completion through the entry succeeds.
func (f *fleet) awaitServing(entry *process) {
	f.t.Helper()
	eventually(f.t, startTimeout, entry.name+" serves", func() bool {
		c := generate(context.Background(), entry.addr, "triage", prompt("check", 5), nil, nil)
		return c.complete
	})
}

// excluding returns the daemons without the excluded one.
func excluding(daemons []*process, excluded *process) []*process {
	var rest []*process
	for _, p := range daemons {
		if p != excluded {
			rest = append(rest, p)
		}
	}
	return rest
}

// TestStoreConnectionsHang publishes a configuration version while the store's
// replies are dropped on open connections, so that a watch neither receives the
// change nor sees its connection close. The version must still be in force in time.
func TestStoreConnectionsHang(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 1, entries: 2, engineOptions: fastEngineOptions()})
	f.watchVersions()
	f.awaitVersion(1, f.daemons())
	removeToxic := f.storeProxy.addToxic("timeout", "downstream", `"timeout":0`)
	version := f.publish(documentsWithExtraWorkspace(1))
	time.Sleep(500 * time.Millisecond)
	removeToxic()
	f.awaitVersion(version, f.daemons())
	f.checkVersionUse()
}
