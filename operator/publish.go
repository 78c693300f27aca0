package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/result"
)

// Manifest reads the manifest in force and its revision in the store. Without
// one it returns an empty manifest at revision 0.
func Manifest(ctx context.Context, store platform.Store) (config.Manifest, int64, error) {
	kv, err := store.Get(ctx, configsync.ManifestKey)
	if err != nil || kv == nil {
		return config.Manifest{}, 0, err
	}
	var m config.Manifest
	if err := json.Unmarshal(kv.Value, &m); err != nil {
		return config.Manifest{}, 0, errors.Wrap(err, "decode manifest")
	}
	return m, kv.ModRevision, nil
}

// Publish puts documents into force: it writes them under their digests, then
// swaps the manifest against the revision that was seen. A concurrent
// publication makes it fail with result.VersionConflict.
func Publish(ctx context.Context, store platform.Store, docs []config.Document, author string, now time.Time) (config.Manifest, error) {
	old, revision, err := Manifest(ctx, store)
	if err != nil {
		return config.Manifest{}, err
	}
	if _, err := config.Build(old.Version+1, docs); err != nil {
		return config.Manifest{}, errors.Mark(err, result.New(result.InvalidDeclaration, result.RanNo, "invalid declarations"))
	}
	m := config.Manifest{Version: old.Version + 1, Author: author, Published: now}
	for i := range docs {
		ref, err := writeDocument(ctx, store, &docs[i])
		if err != nil {
			return config.Manifest{}, err
		}
		m.Documents = append(m.Documents, ref)
	}
	return m, swap(ctx, store, &m, revision)
}

func writeDocument(ctx context.Context, store platform.Store, d *config.Document) (config.DocumentRef, error) {
	data, digest, err := d.Encode()
	if err != nil {
		return config.DocumentRef{}, err
	}
	key := configsync.DocumentPrefix + digest
	_, err = store.Commit(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: key}},
		Ops:      []platform.Op{{Key: key, Value: data}},
	})
	return config.DocumentRef{Name: d.Name, Digest: digest}, err
}

func swap(ctx context.Context, store platform.Store, m *config.Manifest, revision int64) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	res, err := store.Commit(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: configsync.ManifestKey, ModRevision: revision}},
		Ops: []platform.Op{
			{Key: configsync.ManifestKey, Value: data},
			{Key: configsync.HistoryKey(m.Version), Value: data},
		},
	})
	if err != nil {
		return err
	}
	if !res.Applied {
		return result.New(result.VersionConflict, result.RanNo, "another configuration was published first")
	}
	return nil
}
