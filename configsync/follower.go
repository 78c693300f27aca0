// Package configsync keeps a process at the configuration in force. A process
// adopts only higher versions.
package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Keys of the configuration in the store.
const (
	ManifestKey    = "/quetzalglade/manifest"
	DocumentPrefix = "/quetzalglade/documents/"
	// HistoryPrefix holds a copy of each manifest under its version.
	HistoryPrefix = "/quetzalglade/history/"
)

// Periods of the follower.
const (
	retryDelay = time.Second
)

// Options configure a Follower.
type Options struct {
	Store  platform.Store
	Logger log.Logger
}

// Follower is a suture service that follows the manifest in the store.
type Follower struct {
	opts    Options
	current atomic.Pointer[config.Config]
}

// New returns a follower without a configuration.
func New(opts Options) *Follower { return &Follower{opts: opts} }

// Current returns the configuration in force here, or nil before the first.
func (f *Follower) Current() *config.Config { return f.current.Load() }

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		telemetry.Warn(f.opts.Logger, "configuration watch interrupted", "err", err)
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// follow reads the manifest, then watches it until the watch ends.
func (f *Follower) follow(ctx context.Context) error {
	kvs, revision, err := f.opts.Store.Range(ctx, ManifestKey)
	if err != nil {
		return err
	}
	for _, kv := range kvs {
		if err := f.adopt(ctx, kv.Value); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range f.opts.Store.Watch(ctx, ManifestKey, revision+1) {
		if batch.Err != nil {
			return batch.Err
		}
		for _, e := range batch.Events {
			if e.Deleted {
				continue
			}
			if err := f.adopt(ctx, e.KV.Value); err != nil {
				return err
			}
		}
	}
	return errors.New("watch closed")
}

// adopt puts a manifest into force here if its version is higher.
func (f *Follower) adopt(ctx context.Context, data []byte) error {
	var m config.Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Wrap(err, "decode manifest")
	}
	if cur := f.current.Load(); cur != nil && m.Version <= cur.Version {
		return nil
	}
	docs, err := Documents(ctx, f.opts.Store, &m)
	if err != nil {
		return err
	}
	cfg, err := config.Build(m.Version, docs)
	if err != nil {
		return err
	}
	f.current.Store(cfg)
	telemetry.Info(f.opts.Logger, "configuration in force", "config_version", m.Version)
	return nil
}

// Documents fetches the documents of a manifest.
func Documents(ctx context.Context, store platform.Store, m *config.Manifest) ([]config.Document, error) {
	docs := make([]config.Document, len(m.Documents))
	for i, ref := range m.Documents {
		kv, err := store.Get(ctx, DocumentPrefix+ref.Digest)
		if err != nil {
			return nil, err
		}
		if kv == nil {
			return nil, errors.Newf("document %q is missing in the store", ref.Name)
		}
		if err := json.Unmarshal(kv.Value, &docs[i]); err != nil {
			return nil, errors.Wrapf(err, "document %q", ref.Name)
		}
	}
	return docs, nil
}

// HistoryKey returns the key that keeps the manifest of a version. Keys sort
// in the order of versions.
func HistoryKey(version int64) string {
	return fmt.Sprintf("%s%016d", HistoryPrefix, version)
}
