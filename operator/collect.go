package operator

import (
	"context"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Limits of the garbage collection of old manifests and of documents that no
// retained manifest references.
const (
	// manifestsPerCollection is the number of manifests that accumulate beyond the
	// retained ones before a garbage collection runs and deletes them.
	manifestsPerCollection = 16
	// retainedVersions is the number of versions before the current one whose
	// manifests are retained for rollback.
	retainedVersions = 64
	// maxDeletesPerTxn limits the number of keys that one transaction deletes.
	maxDeletesPerTxn = 32
)

// collectGarbageIfDue runs collectGarbage if the history still has the manifest
// that lies retainedVersions + manifestsPerCollection versions before the published
// one. newRevision is the store revision of the published manifest.
func (p *publication) collectGarbageIfDue(ctx context.Context, newRevision int64) error {
	oldVersion := p.manifest.Version - retainedVersions - manifestsPerCollection
	if oldVersion <= 0 {
		return nil
	}
	kv, err := p.store.Get(ctx, configsync.HistoryKey(oldVersion))
	if err != nil || kv == nil {
		return err
	}
	return p.collectGarbage(ctx, newRevision)
}

// collectGarbage deletes the manifests beyond retainedVersions and the documents
// that no retained manifest references and that were written before the replaced
// manifest. A transaction deletes keys only if the published manifest is still the
// current one, at newRevision, and none of these keys has changed.
//
// A publisher reads the current manifest, then writes every document that this
// manifest does not reference, and swaps only if the manifest is still current.
// If that publisher's swap can still succeed, each of its documents is therefore
// either referenced by the current manifest or newer than the manifest that this
// publication replaced.
func (p *publication) collectGarbage(ctx context.Context, newRevision int64) error {
	history, _, err := p.store.Range(ctx, configsync.HistoryPrefix)
	if err != nil {
		return err
	}
	documents, _, err := p.store.Range(ctx, configsync.DocumentPrefix)
	if err != nil {
		return err
	}
	referenced := references(&p.manifest, &p.replaced)
	var garbage []kvstore.KV
	oldestRetained := configsync.HistoryKey(max(p.manifest.Version-retainedVersions, 0))
	for i := range history {
		if history[i].Key < oldestRetained {
			garbage = append(garbage, history[i])
			continue
		}
		m, err := decodeManifest(&history[i])
		if err != nil {
			return err
		}
		for digest := range references(&m) {
			referenced[digest] = true
		}
	}
	for _, kv := range documents {
		if !referenced[kv.Key[len(configsync.DocumentPrefix):]] && kv.ModRevision < p.revision {
			garbage = append(garbage, kv)
		}
	}
	return p.deleteAll(ctx, garbage, newRevision)
}

// references returns the digests of the documents that the manifests reference.
func references(manifests ...*config.Manifest) map[string]bool {
	digests := map[string]bool{}
	for _, m := range manifests {
		for _, ref := range m.Documents {
			digests[ref.Digest] = true
		}
	}
	return digests
}

// deleteAll deletes the keys in batches. It skips a batch if the manifest is no
// longer at newRevision or a key of the batch has changed.
func (p *publication) deleteAll(ctx context.Context, garbage []kvstore.KV, newRevision int64) error {
	for len(garbage) > 0 {
		batch := garbage[:min(len(garbage), maxDeletesPerTxn)]
		garbage = garbage[len(batch):]
		txn := kvstore.Txn{Era: p.era, Compares: []kvstore.Compare{{Key: configsync.ManifestKey, ModRevision: newRevision, Value: p.written}}}
		for _, kv := range batch {
			txn.Compares = append(txn.Compares, kvstore.Compare{Key: kv.Key, ModRevision: kv.ModRevision})
			txn.Ops = append(txn.Ops, kvstore.Op{Key: kv.Key, Delete: true})
		}
		if _, err := p.store.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}
