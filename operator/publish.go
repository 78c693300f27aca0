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
	// value is the encoded form of replaced in the store, nil if there was none.
	value []byte
	// era is that of the store in which revision was read.
	era int64
	// written is the encoded form of manifest, nil before it is swapped.
	written []byte
	// documents holds the encoded documents of the manifest by digest.
	documents map[string][]byte
}

// CurrentManifest reads the current manifest and its revision in the store. If the
// store has none, it returns an empty manifest and revision 0.
func CurrentManifest(ctx context.Context, store kvstore.Store) (config.Manifest, int64, error) {
	m, kv, err := readManifest(ctx, store)
	if kv == nil {
		return m, 0, err
	}
	return m, kv.ModRevision, err
}

// readManifest reads the current manifest, decoded and as the store has it, nil for none.
func readManifest(ctx context.Context, store kvstore.Store) (config.Manifest, *kvstore.KV, error) {
	kv, err := store.Get(ctx, configsync.ManifestKey)
	if err != nil || kv == nil {
		return config.Manifest{}, nil, err
	}
	m, err := decodeManifest(kv)
	return m, kv, err
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
// then returns result.StoreUnavailable because the outcome is unknown. If the store
// was restored from an older copy meanwhile and does not have the manifest, it
// returns result.VersionConflict, or result.StoreUnavailable if a swap whose reply
// was lost may still be applied.
func Publish(ctx context.Context, store kvstore.Store, docs []config.Document, author string, now time.Time) (config.Manifest, error) {
	era := store.Era()
	old, kv, err := readManifest(ctx, store)
	if err != nil {
		return config.Manifest{}, err
	}
	if _, err := config.Build(old.Version+1, docs); err != nil {
		return config.Manifest{}, errors.Mark(err, result.New(result.InvalidDeclaration, result.RanNo, "invalid declarations"))
	}
	p := &publication{
		store: store, replaced: old, era: era,
		manifest: config.Manifest{Version: old.Version + 1, Author: author, Published: now, Nonce: newNonce()},
	}
	if kv != nil {
		p.revision, p.value = kv.ModRevision, kv.Value
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
	p.documents = map[string][]byte{}
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
			p.documents[digest] = data
			if skipWrite[digest] {
				continue
			}
			if err := p.writeDocument(ctx, digest); err != nil {
				return errors.Wrapf(err, "write document %q", part.Name)
			}
			skipWrite[digest] = true
		}
	}
	return nil
}

func (p *publication) writeDocument(ctx context.Context, digest string) error {
	op := kvstore.Op{Key: configsync.DocumentPrefix + digest, Value: p.documents[digest]}
	_, err := p.store.Commit(ctx, kvstore.Txn{Ops: []kvstore.Op{op}})
	return err
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
	p.written = data
	txn := kvstore.Txn{
		Era:      p.era,
		Compares: []kvstore.Compare{{Key: configsync.ManifestKey, ModRevision: p.revision, Value: p.value}},
		Ops: []kvstore.Op{
			{Key: configsync.ManifestKey, Value: data},
			{Key: configsync.HistoryKey(p.manifest.Version), Value: data},
		},
	}
	isReplyLost := false
	for {
		res, err := p.store.Commit(ctx, txn)
		if err == nil && res.Applied {
			return res.Revision, nil
		}
		// An earlier attempt of this loop may have taken effect without a reply.
		revision, history, outcomeErr := p.readOutcome(ctx)
		isRestored := errors.Is(err, kvstore.ErrRestored)
		isReplyLost = isReplyLost || (err != nil && !isRestored)
		switch {
		case outcomeErr != nil:
			return 0, outcomeErr
		case history.has && isRestored:
			// The store may have lost the documents.
			return revision, p.rewriteDocuments(ctx)
		case history.has:
			return revision, nil
		case err == nil && len(res.Current) == 1:
			return 0, conflictError(&res.Current[0])
		case err == nil, isRestored && history.answered && !isReplyLost:
			// The manifest on which this publication rests is gone.
			return 0, result.New(result.VersionConflict, result.RanNo, "the store was restored from an older copy before version %d was accepted", p.manifest.Version)
		case isRestored && history.answered:
			return 0, result.New(result.StoreUnavailable, result.RanUnknown, "the store was restored from an older copy, which does not have version %d", p.manifest.Version)
		}
		select {
		case <-ctx.Done():
			return 0, result.New(result.StoreUnavailable, result.RanUnknown, "the store did not tell whether version %d was accepted", p.manifest.Version)
		case <-time.After(outcomePollInterval):
		}
	}
}

// rewriteDocuments writes all documents of the manifest, also those that the replaced
// one references.
func (p *publication) rewriteDocuments(ctx context.Context) error {
	for digest := range p.documents {
		if err := p.writeDocument(ctx, digest); err != nil {
			return errors.Mark(err, result.New(result.StoreUnavailable, result.RanYes, "version %d is in the store, which may lack documents of it", p.manifest.Version))
		}
	}
	return nil
}

// historyState is what a read of the history shows of a publication: whether the store
// answered, and whether it has the entry that this publication wrote.
type historyState struct{ answered, has bool }

// readOutcome reads the history entry of the version. It returns the revision if
// this publication wrote the entry, and result.VersionConflict if another one
// did.
func (p *publication) readOutcome(ctx context.Context) (revision int64, state historyState, err error) {
	kv, err := p.store.Get(ctx, configsync.HistoryKey(p.manifest.Version))
	if err != nil {
		return 0, historyState{}, nil //nolint:nilerr // without an answer the outcome stays unknown
	}
	if kv == nil {
		return 0, historyState{answered: true}, nil
	}
	existing, err := decodeManifest(kv)
	if err != nil {
		return 0, historyState{}, err
	}
	if existing.Nonce == p.manifest.Nonce {
		return kv.ModRevision, historyState{answered: true, has: true}, nil
	}
	return 0, historyState{}, conflictError(kv)
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
