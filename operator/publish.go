package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/kvstore"

	"github.com/quetzalglade/quetzalglade/result"
)

// Limits and intervals of a publication.
const (
	// maxValueBytes is the largest value that the store accepts.
	maxValueBytes = 1 << 20
	// outcomePollInterval is the time between two attempts to find out the
	// outcome of a swap whose reply was lost.
	outcomePollInterval = 200 * time.Millisecond
	// nonceBytes is the length of the random nonce by which a publication recognises
	// its own manifest in the history.
	nonceBytes = 12
)

// publication is the state of one Publish call.
type publication struct {
	store    kvstore.Store
	manifest config.Manifest
	// replaced is the manifest that was current when the publication started;
	// revision is its revision in the store, 0 if there was none.
	replaced config.Manifest
	revision int64
	// era is that of the store in which revision was read.
	era int64
}

// CurrentManifest reads the current manifest and its revision in the store. If the
// store has none, it returns an empty manifest and revision 0.
func CurrentManifest(ctx context.Context, store kvstore.Store) (config.Manifest, int64, error) {
	kv, err := store.Get(ctx, configsync.ManifestKey)
	if err != nil || kv == nil {
		return config.Manifest{}, 0, err
	}
	m, err := decodeManifest(kv)
	return m, kv.ModRevision, err
}

func decodeManifest(kv *kvstore.KV) (config.Manifest, error) {
	var m config.Manifest
	err := json.Unmarshal(kv.Value, &m)
	return m, errors.Wrap(err, "decode manifest")
}

// Publish makes docs the current configuration: it writes them under their
// digests, then replaces the manifest by a compare-and-swap on the revision that
// it read at the start. If a concurrent publication came first, it returns
// result.VersionConflict with that publication's author. If the reply to the
// swap is lost, it polls the history entry of the version until ctx ends, and
// then returns result.StoreUnavailable because the outcome is unknown.
func Publish(ctx context.Context, store kvstore.Store, docs []config.Document, author string, now time.Time) (config.Manifest, error) {
	era := store.Era()
	old, revision, err := CurrentManifest(ctx, store)
	if err != nil {
		return config.Manifest{}, err
	}
	if _, err := config.Build(old.Version+1, docs); err != nil {
		return config.Manifest{}, errors.Mark(err, result.New(result.InvalidDeclaration, result.RanNo, "invalid declarations"))
	}
	p := &publication{
		store: store, replaced: old, revision: revision, era: era,
		manifest: config.Manifest{Version: old.Version + 1, Author: author, Published: now, Nonce: newNonce()},
	}
	if err := p.writeDocuments(ctx, docs); err != nil {
		return config.Manifest{}, err
	}
	newRevision, err := p.swap(ctx)
	if err != nil {
		return config.Manifest{}, err
	}
	// A later publication deletes what this one failed to delete.
	_ = p.collectGarbageIfDue(ctx, newRevision)
	return p.manifest, nil
}

// newNonce returns a random nonce for a manifest.
func newNonce() string {
	raw := make([]byte, nonceBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// writeDocuments writes the documents that the replaced manifest does not
// reference. It writes them even if the store has them: the new revision keeps
// a concurrent garbage collection from deleting them.
func (p *publication) writeDocuments(ctx context.Context, docs []config.Document) error {
	// skipWrite has the digests that the replaced manifest references and those that
	// this call has written.
	skipWrite := map[string]bool{}
	for _, ref := range p.replaced.Documents {
		skipWrite[ref.Digest] = true
	}
	for i := range docs {
		for _, part := range docs[i].Split() {
			data, digest, err := part.Encode()
			if err != nil {
				return err
			}
			if len(data) > maxValueBytes {
				return result.New(result.InvalidDeclaration, result.RanNo, "document %q exceeds %d bytes", part.Name, maxValueBytes)
			}
			p.manifest.Documents = append(p.manifest.Documents, config.DocumentRef{Name: part.Name, Digest: digest})
			if skipWrite[digest] {
				continue
			}
			op := kvstore.Op{Key: configsync.DocumentPrefix + digest, Value: data}
			if _, err := p.store.Commit(ctx, kvstore.Txn{Ops: []kvstore.Op{op}}); err != nil {
				return errors.Wrapf(err, "write document %q", part.Name)
			}
			skipWrite[digest] = true
		}
	}
	return nil
}

// swap replaces the manifest by a compare-and-swap on the revision of the
// replaced one. While the outcome of an attempt is unknown, it looks the outcome up
// and tries again until ctx ends. It returns the new manifest's revision.
func (p *publication) swap(ctx context.Context) (int64, error) {
	data, err := json.Marshal(p.manifest)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	if len(data) > maxValueBytes {
		return 0, result.New(result.InvalidDeclaration, result.RanNo, "the manifest exceeds %d bytes", maxValueBytes)
	}
	txn := kvstore.Txn{
		Era:      p.era,
		Compares: []kvstore.Compare{{Key: configsync.ManifestKey, ModRevision: p.revision}},
		Ops: []kvstore.Op{
			{Key: configsync.ManifestKey, Value: data},
			{Key: configsync.HistoryKey(p.manifest.Version), Value: data},
		},
	}
	for {
		res, err := p.store.Commit(ctx, txn)
		if err == nil && res.Applied {
			return res.Revision, nil
		}
		// An earlier attempt of this loop may have taken effect without a reply.
		revision, known, outcomeErr := p.readOutcome(ctx)
		if known || outcomeErr != nil {
			return revision, outcomeErr
		}
		if err == nil && len(res.Current) == 1 {
			return 0, conflictError(&res.Current[0])
		}
		select {
		case <-ctx.Done():
			return 0, result.New(result.StoreUnavailable, result.RanUnknown, "the store did not tell whether version %d was accepted", p.manifest.Version)
		case <-time.After(outcomePollInterval):
		}
	}
}

// readOutcome reads the history entry of the version. It returns the revision if
// this publication wrote the entry, and result.VersionConflict if another one
// did. known is false if the store does not answer or has no entry.
func (p *publication) readOutcome(ctx context.Context) (revision int64, known bool, err error) {
	kv, err := p.store.Get(ctx, configsync.HistoryKey(p.manifest.Version))
	if err != nil {
		return 0, false, nil //nolint:nilerr // without an answer the outcome stays unknown
	}
	if kv == nil {
		return 0, false, nil
	}
	existing, err := decodeManifest(kv)
	if err != nil {
		return 0, false, err
	}
	if existing.Nonce == p.manifest.Nonce {
		return kv.ModRevision, true, nil
	}
	return 0, false, conflictError(kv)
}

// conflictError returns result.VersionConflict with the author and time of the
// manifest in kv.
func conflictError(kv *kvstore.KV) error {
	existing, err := decodeManifest(kv)
	if err != nil {
		return err
	}
	return result.New(result.VersionConflict, result.RanNo, "version %d was published first by %s at %s",
		existing.Version, existing.Author, existing.Published.UTC().Format(time.RFC3339))
}
