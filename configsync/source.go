package configsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
)

// Keys of the configuration in the store.
const (
	ManifestKey    = "/quetzalglade/manifest"
	DocumentPrefix = "/quetzalglade/documents/"
	// HistoryPrefix is the prefix of the copies of all manifests by version.
	HistoryPrefix = "/quetzalglade/history/"
)

// HistoryKey returns the key of the copy of a version's manifest. The lexical
// order of the keys is the order of the versions.
func HistoryKey(version int64) string {
	return fmt.Sprintf("%s%016d", HistoryPrefix, version)
}

// source provides encoded documents. documents returns those of the requested
// digests that the source has, by digest; it may return others as well.
type source interface {
	documents(ctx context.Context, digests []string) (map[string][]byte, error)
}

// peerSource fetches documents from another process.
type peerSource struct {
	peers Peers
	addr  string
}

func (s peerSource) documents(ctx context.Context, digests []string) (map[string][]byte, error) {
	out := map[string][]byte{}
	for len(digests) > 0 {
		batch := digests[:min(len(digests), peer.MaxDocuments)]
		digests = digests[len(batch):]
		fetched, err := s.peers.Documents(ctx, s.addr, batch)
		if err != nil {
			return out, err
		}
		for i, data := range fetched[:min(len(fetched), len(batch))] {
			out[batch[i]] = data
		}
	}
	return out, nil
}

// storeSource reads documents from the store.
type storeSource struct{ store kvstore.Store }

// maxSingleReads is the maximum number of documents that are read one by one. To
// read more, storeSource reads all documents of the store with one call.
const maxSingleReads = 8

func (s storeSource) documents(ctx context.Context, digests []string) (map[string][]byte, error) {
	out := map[string][]byte{}
	if len(digests) > maxSingleReads {
		kvs, _, err := s.store.Range(ctx, DocumentPrefix)
		if err != nil {
			return nil, err
		}
		for _, kv := range kvs {
			out[kv.Key[len(DocumentPrefix):]] = kv.Value
		}
		return out, nil
	}
	for _, digest := range digests {
		kv, err := s.store.Get(ctx, DocumentPrefix+digest)
		if err != nil {
			return out, err
		}
		if kv != nil {
			out[digest] = kv.Value
		}
	}
	return out, nil
}

// collect returns the encoded documents of a manifest by digest. It reuses those of
// the version in force. It requests the missing ones from each source in turn and
// ignores documents that do not match their digest.
func (f *Follower) collect(ctx context.Context, m *config.Manifest, sources []source) (map[string][]byte, error) {
	documents := make(map[string][]byte, len(m.Documents))
	var missing []string
	current := f.current.Load()
	for _, ref := range m.Documents {
		if current != nil && current.documents[ref.Digest] != nil {
			documents[ref.Digest] = current.documents[ref.Digest]
			continue
		}
		missing = append(missing, ref.Digest)
	}
	var fetchErr error
	for _, s := range sources {
		if len(missing) == 0 {
			break
		}
		fetched, err := s.documents(ctx, missing)
		fetchErr = errors.CombineErrors(fetchErr, err)
		missing = addVerified(documents, fetched, missing)
	}
	if len(missing) == 0 {
		return documents, nil
	}
	if fetchErr == nil {
		fetchErr = errors.Newf("%d documents not found in any source", len(missing))
	}
	return nil, errors.Wrapf(fetchErr, "fetch documents of configuration version %d", m.Version)
}

// addVerified copies the missing documents that match their digest to dst. It
// returns the digests that are still missing.
func addVerified(dst, fetched map[string][]byte, missing []string) []string {
	var remaining []string
	for _, digest := range missing {
		data := fetched[digest]
		sum := sha256.Sum256(data)
		if len(data) == 0 || hex.EncodeToString(sum[:]) != digest {
			remaining = append(remaining, digest)
			continue
		}
		dst[digest] = data
	}
	return remaining
}

// Documents reads the documents of a manifest from the store, in the order of the
// manifest.
func Documents(ctx context.Context, store kvstore.Store, m *config.Manifest) ([]config.Document, error) {
	f := New(Options{Store: store})
	documents, err := f.collect(ctx, m, []source{storeSource{store}})
	if err != nil {
		return nil, err
	}
	docs := make([]config.Document, len(m.Documents))
	for i, ref := range m.Documents {
		if err := json.Unmarshal(documents[ref.Digest], &docs[i]); err != nil {
			return nil, errors.Wrapf(err, "decode document %q", ref.Name)
		}
	}
	return docs, nil
}
