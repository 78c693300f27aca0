package peer

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// PathDocuments is the path that serves configuration documents by digest.
const PathDocuments = PathConfig + "/documents"

// MaxDocuments is the largest number of documents in one message.
const MaxDocuments = 256

// Manifest answers a request for a configuration version above a given one.
type Manifest struct {
	// Version is the configuration version in force at the sender, 0 if none.
	Version int64 `json:"version"`
	// Data is the manifest in its stored encoding, empty if Version is not above the
	// given one.
	Data []byte `json:"data,omitempty"`
}

// DocumentsRequest requests documents by their digests, at most MaxDocuments.
type DocumentsRequest struct {
	Digests []string `json:"digests"`
}

// Documents answers a DocumentsRequest with one element per digest, in the same
// order. The element is empty if the sender does not have the document.
type Documents struct {
	Documents [][]byte `json:"documents"`
}

// Config requests the manifest of a process if its version is above the given
// one. The process waits up to the given time for such a version.
func (c *Client) Config(ctx context.Context, addr string, above int64, wait time.Duration) (Manifest, error) {
	var out Manifest
	path := fmt.Sprintf("%s?above=%d&wait_ms=%d", PathConfig, above, wait.Milliseconds())
	err := c.exchange(ctx, http.MethodGet, addr, path, nil, &out)
	return out, err
}

// Documents requests configuration documents of a process by their digests.
func (c *Client) Documents(ctx context.Context, addr string, digests []string) ([][]byte, error) {
	var out Documents
	err := c.exchange(ctx, http.MethodPost, addr, PathDocuments, DocumentsRequest{Digests: digests}, &out)
	return out.Documents, err
}
