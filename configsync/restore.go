package configsync

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/kvstore"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// maxReplaced is the number of replaced manifests whose nonces a process remembers.
const maxReplaced = 64

// maxDocumentsPerTxn limits the documents that one transaction writes again.
const maxDocumentsPerTxn = 8

// maxDocumentBytesPerTxn limits their size.
const maxDocumentBytesPerTxn = 1 << 20

// reconcile brings the store up to date after a restore from an older copy. The store then has
// a manifest that is not above the one that was in force here when the read began, and
// publications get numbers again that lost ones had, which processes that know those ignore.
//
// The later one of the two, as isLater decides, is written under a number above those that
// were given out: the own manifest under its own number if that is higher than the
// stored one, otherwise either under the next number. The write is conditional on the stored
// manifest, so one watcher succeeds. Processes then need to compare numbers only.
func (f *Follower) reconcile(ctx context.Context, own *snapshot, kv *kvstore.KV, era int64) error {
	var stored config.Manifest
	compare := kvstore.Compare{Key: ManifestKey}
	if kv != nil {
		if err := json.Unmarshal(kv.Value, &stored); err != nil {
			return errors.Wrap(err, "decode manifest")
		}
		compare.ModRevision, compare.Value = kv.ModRevision, kv.Value
	}
	isSame := stored.Version == own.decoded.Version && stored.Nonce == own.decoded.Nonce
	if isSame || stored.Version > own.decoded.Version {
		return nil
	}
	next, data := own.decoded, own.manifest
	isOwn := kv == nil || !f.isLater(&stored, &own.decoded)
	if !isOwn {
		next = stored
	}
	highest := max(own.decoded.Version, f.refusedVersion())
	if next.Version < highest || stored.Version == highest {
		next.Version = highest + 1
		var err error
		if data, err = json.Marshal(next); err != nil {
			return errors.Wrap(err, "encode manifest")
		}
	}
	if isOwn {
		if err := f.writeDocuments(ctx, own, &stored); err != nil {
			return err
		}
	}
	res, err := f.opts.Store.Commit(ctx, kvstore.Txn{
		Era: era, Compares: []kvstore.Compare{compare},
		Ops: []kvstore.Op{{Key: ManifestKey, Value: data}, {Key: HistoryKey(next.Version), Value: data}},
	})
	if err != nil {
		return errors.Wrap(err, "write the manifest again")
	}
	telemetry.Warn(f.opts.Logger, "store has an older configuration", "era", era, "stored", stored.Version, "in_force", own.decoded.Version,
		"written", next.Version, "own", isOwn, "applied", res.Applied)
	if !res.Applied || (isOwn && next.Version == own.decoded.Version) {
		return nil
	}
	return f.adopt(ctx, data, storeSource{f.opts.Store})
}

// isLater reports whether a stored manifest that is not above the own one was published after
// it, and not merely in the copy: it is none that this process has replaced, and its time of
// publication or, at the same time, its nonce is higher.
func (f *Follower) isLater(stored, own *config.Manifest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, nonce := range f.replaced {
		if nonce == stored.Nonce {
			return false
		}
	}
	if !stored.Published.Equal(own.Published) {
		return stored.Published.After(own.Published)
	}
	return stored.Nonce > own.Nonce
}

// writeDocuments writes the documents of a snapshot that the stored manifest does not
// reference.
func (f *Follower) writeDocuments(ctx context.Context, own *snapshot, stored *config.Manifest) error {
	skipWrite := map[string]bool{}
	for _, ref := range stored.Documents {
		skipWrite[ref.Digest] = true
	}
	var ops []kvstore.Op
	for _, ref := range own.decoded.Documents {
		if !skipWrite[ref.Digest] {
			skipWrite[ref.Digest] = true
			ops = append(ops, kvstore.Op{Key: DocumentPrefix + ref.Digest, Value: own.documents[ref.Digest]})
		}
	}
	for len(ops) > 0 {
		size, n := 0, 0
		for n < min(len(ops), maxDocumentsPerTxn) && (n == 0 || size+len(ops[n].Value) <= maxDocumentBytesPerTxn) {
			size += len(ops[n].Value)
			n++
		}
		if _, err := f.opts.Store.Commit(ctx, kvstore.Txn{Ops: ops[:n]}); err != nil {
			return errors.Wrap(err, "write documents again")
		}
		ops = ops[n:]
	}
	return nil
}
