package operator

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// History returns the stored manifests, latest version first.
func History(ctx context.Context, store kvstore.Store) ([]config.Manifest, error) {
	kvs, _, err := store.Range(ctx, configsync.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	manifests := make([]config.Manifest, len(kvs))
	for i, kv := range kvs {
		if err := json.Unmarshal(kv.Value, &manifests[i]); err != nil {
			return nil, errors.Wrapf(err, "decode manifest at %s", kv.Key)
		}
	}
	sort.Slice(manifests, func(i, j int) bool { return manifests[i].Version > manifests[j].Version })
	return manifests, nil
}

// CurrentConfig returns the current manifest and its documents.
func CurrentConfig(ctx context.Context, store kvstore.Store) (config.Manifest, []config.Document, error) {
	m, _, err := CurrentManifest(ctx, store)
	if err != nil {
		return m, nil, err
	}
	docs, err := configsync.Documents(ctx, store, &m)
	return m, docs, err
}

// VersionDocuments returns the documents of a stored version, or an error if the
// version is not in the history.
func VersionDocuments(ctx context.Context, store kvstore.Store, version int64) ([]config.Document, error) {
	kv, err := store.Get(ctx, configsync.HistoryKey(version))
	if err != nil {
		return nil, err
	}
	if kv == nil {
		return nil, errors.Newf("version %d is not in the history", version)
	}
	var m config.Manifest
	if err := json.Unmarshal(kv.Value, &m); err != nil {
		return nil, errors.Wrap(err, "decode manifest")
	}
	return configsync.Documents(ctx, store, &m)
}

// Rollback publishes the documents of an earlier version under a new, higher
// version. Its errors are those of VersionDocuments and Publish.
func Rollback(ctx context.Context, store kvstore.Store, version int64, author string, now time.Time) (config.Manifest, error) {
	docs, err := VersionDocuments(ctx, store, version)
	if err != nil {
		return config.Manifest{}, err
	}
	return Publish(ctx, store, docs, author, now)
}
