package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// publish puts a workspace into force as the operator does: under the number after that of the
// manifest in the store.
func (fx *fixture) publish(workspace string, at time.Time) int64 {
	fx.t.Helper()
	m := config.Manifest{Published: at, Nonce: workspace, Version: fx.stored().Version + 1}
	doc := document("a", workspace)
	data, digest, err := doc.Encode()
	if err != nil {
		fx.t.Fatal(err)
	}
	m.Documents = []config.DocumentRef{{Name: "a", Digest: digest}}
	fx.write(DocumentPrefix+digest, data)
	encoded, err := json.Marshal(m)
	if err != nil {
		fx.t.Fatal(err)
	}
	ops := []kvstore.Op{{Key: ManifestKey, Value: encoded}, {Key: HistoryKey(m.Version), Value: encoded}}
	if _, err := fx.store.Commit(context.Background(), kvstore.Txn{Ops: ops}); err != nil {
		fx.t.Fatal(err)
	}
	return m.Version
}

// stored returns the manifest in the store.
func (fx *fixture) stored() config.Manifest {
	fx.t.Helper()
	var m config.Manifest
	kv, err := fx.store.Get(context.Background(), ManifestKey)
	if err != nil {
		fx.t.Fatal(err)
	}
	if kv != nil {
		if err := json.Unmarshal(kv.Value, &m); err != nil {
			fx.t.Fatal(err)
		}
	}
	return m
}

// awaitWorkspace waits until the workspace is in force in all processes, under one version.
func awaitWorkspace(t *testing.T, workspace string, processes []*Follower) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		agree := true
		for _, f := range processes {
			agree = agree && f.Current() != nil && f.Version() == processes[0].Version() && f.Current().Workspace(workspace) != nil
		}
		if agree {
			return
		}
		if time.Now().After(deadline) {
			for i, f := range processes {
				t.Errorf("process %d: version %d, has %s: %v", i, f.Version(), workspace, f.Current() != nil && f.Current().Workspace(workspace) != nil)
			}
			t.FailNow()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a publication after a restore of the store that the processes ignore for ever,
// because it has the number of a lost one or a lower one, and against a return to the version
// of the copy.
func TestPublicationAfterARestore(t *testing.T) {
	for _, lost := range []int{1, 3} {
		for _, isWrittenBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d lost, written back first %v", lost, isWrittenBack), func(t *testing.T) {
				fx := newFixture(t)
				now := time.Now()
				fx.publish("w0", now)
				var processes []*Follower
				for _, vm := range []string{"e1", "e2", "e3", "e4"} {
					f, _ := fx.start(vm, "c1", "r1")
					processes = append(processes, f)
				}
				awaitWorkspace(t, "w0", processes)
				copied := fx.server.Copy()
				last := ""
				for i := range lost {
					last = fmt.Sprintf("lost%d", i)
					fx.publish(last, now.Add(time.Duration(i+1)*time.Second))
				}
				awaitWorkspace(t, last, processes)
				version := processes[0].Version()
				fx.server.Restore(copied, standin.RestoreOptions{NewCluster: true})
				if isWrittenBack {
					awaitStored(fx, version)
					if m := fx.stored(); m.Nonce != last {
						t.Fatalf("version %d of %s in the store, want %s", m.Version, m.Nonce, last)
					}
					for _, key := range []string{HistoryKey(version), DocumentPrefix + fx.stored().Documents[0].Digest} {
						if kv, err := fx.store.Get(context.Background(), key); err != nil || kv == nil {
							t.Fatalf("%s is not in the store, err %v", key, err)
						}
					}
					awaitWorkspace(t, last, processes)
				}
				start := time.Now()
				fx.publish("new", now.Add(10*time.Second))
				awaitWorkspace(t, "new", processes)
				t.Logf("in force after %v as version %d", time.Since(start).Round(time.Millisecond), processes[0].Version())
				if processes[0].Version() <= version {
					t.Fatalf("version %d in force, was %d", processes[0].Version(), version)
				}
			})
		}
	}
}

// awaitStored waits until the store has at least a version.
func awaitStored(fx *fixture, version int64) {
	fx.t.Helper()
	for deadline := time.Now().Add(waitTimeout); fx.stored().Version < version; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			fx.t.Fatalf("version %d in the store, want %d", fx.stored().Version, version)
		}
	}
}

// Guards against a version that is refused for ever because a lost one of its number was
// invalid.
func TestValidVersionWithTheNumberOfALostInvalidOne(t *testing.T) {
	fx := newFixture(t)
	fx.publish("w0", time.Now())
	f, _ := fx.start("e1", "c1", "r1")
	waitForVersion(t, f, 1)
	copied := fx.server.Copy()
	fx.put(2, document("a", "w"), document("b", "w"))
	for f.refusedVersion() != 2 {
		time.Sleep(5 * time.Millisecond)
	}
	fx.server.Restore(copied, standin.RestoreOptions{NewCluster: true})
	fx.publish("new", time.Now())
	awaitWorkspace(t, "new", []*Follower{f})
}

// Guards against a return to the version of the copy because the clock of its operator was
// ahead of that of the lost one's.
func TestCopyWithALaterTimeOfPublication(t *testing.T) {
	fx := newFixture(t)
	now := time.Now()
	fx.publish("w0", now.Add(time.Hour))
	f, _ := fx.start("e1", "c1", "r1")
	awaitWorkspace(t, "w0", []*Follower{f})
	copied := fx.server.Copy()
	fx.publish("lost", now)
	awaitWorkspace(t, "lost", []*Follower{f})
	fx.server.Restore(copied, standin.RestoreOptions{NewCluster: true})
	awaitStored(fx, 2)
	if m := fx.stored(); m.Nonce != "lost" || m.Version != 2 {
		t.Fatalf("version %d of %s in the store", m.Version, m.Nonce)
	}
	awaitWorkspace(t, "lost", []*Follower{f})
}
