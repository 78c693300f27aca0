// Package configsync keeps the configuration of a process up to date. A few
// entries of each region, the watchers, watch the store; the other entries follow
// the watchers. In addition, every message between processes announces the
// configuration version of its sender, and a process fetches a higher version
// from the sender that announced it. A process adopts only versions higher than
// its own.
package configsync

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Peers requests the configuration from other processes. *peer.Client implements
// it.
type Peers interface {
	Config(ctx context.Context, addr string, above int64, wait time.Duration) (peer.Manifest, error)
	Documents(ctx context.Context, addr string, digests []string) ([][]byte, error)
}

// Options configure a Follower.
type Options struct {
	Store  kvstore.Store
	Logger log.Logger
	// Peers requests the configuration from other processes. If it is nil, the
	// follower reads only the store.
	Peers Peers
	// VMs returns the current VM list. If it is nil, this process never watches the
	// store: it receives versions through announcements in messages and reads the
	// store only while it has no configuration.
	VMs func() []vmlist.VM
	// VM and Region are the VM name and the region of this process.
	VM     string
	Region string
}

// Follower keeps the configuration of this process up to date. It is a suture
// service. Current, Version and ReportVersion may be called from any goroutine.
type Follower struct {
	opts          Options
	current       atomic.Pointer[snapshot]
	announcements chan announcement
	// failedWatchers are watchers to which a request failed within
	// watcherAvoidPeriod.
	failedWatchers *failedAddrs
	// failedPeers are processes that announced a version but did not provide it
	// within peerAvoidPeriod.
	failedPeers *failedAddrs

	mu sync.Mutex
	// refused is the highest version that was refused because it is invalid, and
	// refusedManifest its manifest. After a restore of the store, another manifest may have
	// its number.
	refused         int64
	refusedManifest []byte
	// replaced holds the nonces of the last manifests that were replaced here.
	replaced []string
	// changed is closed when a higher version is adopted.
	changed chan struct{}
}

// snapshot is one configuration version with its encoded form, which this process
// serves to others.
type snapshot struct {
	// manifest is the encoded manifest.
	manifest []byte
	decoded  config.Manifest
	config   *config.Config
	// documents maps digests to encoded documents.
	documents map[string][]byte
}

// announcement is a higher version that another process announced.
type announcement struct {
	version int64
	addr    string
}

// announcementBacklog is the size of the queue of announcements. Announcements
// beyond it are dropped, since each message repeats them.
const announcementBacklog = 16

// New returns a follower without a configuration.
func New(opts Options) *Follower {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	return &Follower{
		opts: opts, announcements: make(chan announcement, announcementBacklog), changed: make(chan struct{}),
		failedWatchers: newFailedAddrs(watcherAvoidPeriod), failedPeers: newFailedAddrs(peerAvoidPeriod),
	}
}

var _ peer.VersionTracker = (*Follower)(nil)

// Current returns the configuration in force in this process, or nil before the
// first one is adopted.
func (f *Follower) Current() *config.Config {
	if s := f.current.Load(); s != nil {
		return s.config
	}
	return nil
}

// Version implements peer.VersionTracker. It returns the version in force in this
// process, or 0 before the first one is adopted.
func (f *Follower) Version() int64 {
	if s := f.current.Load(); s != nil {
		return s.config.Version
	}
	return 0
}

// ReportVersion implements peer.VersionTracker. It queues the announced version to
// be fetched from addr if it is higher than the version in force in this process.
// It does not block.
func (f *Follower) ReportVersion(version int64, addr string) {
	if version <= f.Version() || f.failedPeers.has(addr, time.Now()) {
		return
	}
	select {
	case f.announcements <- announcement{version, addr}:
	default:
	}
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.fetchAnnounced(ctx)
	}()
	if f.opts.VMs == nil {
		f.awaitAnnouncements(ctx)
	} else {
		f.run(ctx)
	}
	wg.Wait()
	return ctx.Err()
}

// fetchAnnounced fetches the versions that other processes announced.
func (f *Follower) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-f.announcements:
			f.fetch(ctx, a)
		}
	}
}

// fetch fetches an announced version from the process that announced it. If that
// process does not provide the version, fetch adds it to failedPeers.
func (f *Follower) fetch(ctx context.Context, a announcement) {
	if a.version <= f.Version() || a.version <= f.refusedVersion() || f.opts.Peers == nil || f.failedPeers.has(a.addr, time.Now()) {
		return
	}
	err := f.fetchFrom(ctx, a.addr, 0)
	if f.Version() >= a.version || ctx.Err() != nil {
		return
	}
	f.failedPeers.add(a.addr, time.Now())
	telemetry.Warn(f.opts.Logger, "configuration fetch failed", "peer", a.addr, "config_version", a.version, "err", err)
}

// fetchFrom requests a version higher than the current and the refused one from
// the process at addr and adopts it. That process may delay its response by up to
// wait until it has such a version.
func (f *Follower) fetchFrom(ctx context.Context, addr string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	above := max(f.Version(), f.refusedVersion())
	m, err := f.opts.Peers.Config(ctx, addr, above, wait)
	if err != nil || len(m.Data) == 0 {
		return err
	}
	return f.adopt(ctx, m.Data, peerSource{f.opts.Peers, addr})
}

func (f *Follower) refusedVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// isRefused reports whether a manifest is below the refused one, or that one.
func (f *Follower) isRefused(version int64, manifest []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version < f.refused || (version == f.refused && bytes.Equal(manifest, f.refusedManifest))
}

// errInvalid marks errors of a configuration that cannot be built.
var errInvalid = errors.New("invalid configuration")

// adopt puts the configuration of a manifest into force in this process if its
// version is higher than the current one. A version that cannot be built is
// refused permanently: adopt logs it and returns nil. If documents cannot be
// fetched, adopt returns an error and the caller may retry.
func (f *Follower) adopt(ctx context.Context, manifest []byte, sources ...source) error {
	var m config.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return errors.Wrap(err, "decode manifest")
	}
	if m.Version <= f.Version() || f.isRefused(m.Version, manifest) {
		return nil
	}
	documents, err := f.collect(ctx, &m, sources)
	if err != nil {
		return err
	}
	next, err := build(manifest, &m, documents)
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Version <= f.Version() {
		return nil
	}
	if err != nil {
		f.refused, f.refusedManifest = max(m.Version, f.refused), manifest
		telemetry.Warn(f.opts.Logger, "configuration refused", "config_version", m.Version, "in_force", f.Version(), "err", err)
		return nil
	}
	if before := f.current.Swap(next); before != nil && before.decoded.Nonce != "" {
		f.replaced = append(f.replaced, before.decoded.Nonce)
		f.replaced = f.replaced[max(len(f.replaced)-maxReplaced, 0):]
	}
	close(f.changed)
	f.changed = make(chan struct{})
	telemetry.Info(f.opts.Logger, "configuration in force", "config_version", m.Version)
	return nil
}

// build returns the snapshot of a manifest, given in its encoded and its decoded
// form, with its documents by digest.
func build(manifest []byte, m *config.Manifest, documents map[string][]byte) (*snapshot, error) {
	docs := make([]config.Document, len(m.Documents))
	for i, ref := range m.Documents {
		if err := json.Unmarshal(documents[ref.Digest], &docs[i]); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "decode document %q", ref.Name), errInvalid)
		}
	}
	cfg, err := config.Build(m.Version, docs)
	if err != nil {
		return nil, errors.Mark(err, errInvalid)
	}
	return &snapshot{manifest: manifest, decoded: *m, config: cfg, documents: documents}, nil
}

// await blocks until the version in force is higher than the given one or ctx
// ends.
func (f *Follower) await(ctx context.Context, above int64) {
	for {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if f.Version() > above {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
