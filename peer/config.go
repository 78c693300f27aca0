package peer

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// PathDocuments serves documents of the configuration by digest.
const PathDocuments = PathConfig + "/documents"

// MaxDocuments bounds the documents in one message.
const MaxDocuments = 256

// Manifest answers a question for the configuration. Data is empty if the
// version in force is not above the one asked for.
type Manifest struct {
	Version int64 `json:"version"`
	// Data is the manifest as the store holds it.
	Data []byte `json:"data,omitempty"`
}

// DocumentsRequest asks for documents by their digests, MaxDocuments at most.
type DocumentsRequest struct {
	Digests []string `json:"digests"`
}

// Documents answers DocumentsRequest in its order. A document that the sender
// does not hold is empty.
type Documents struct {
	Documents [][]byte `json:"documents"`
}

// Config asks a process for its manifest if its version is above the given
// one. The process waits for such a version, at most for the given time.
func (c *Client) Config(ctx context.Context, addr string, above int64, wait time.Duration) (Manifest, error) {
	var out Manifest
	path := fmt.Sprintf("%s?above=%d&wait_ms=%d", PathConfig, above, wait.Milliseconds())
	err := c.exchange(ctx, http.MethodGet, addr, path, nil, &out)
	return out, err
}

// Documents asks a process for documents of its configuration.
func (c *Client) Documents(ctx context.Context, addr string, digests []string) ([][]byte, error) {
	var out Documents
	err := c.exchange(ctx, http.MethodPost, addr, PathDocuments, DocumentsRequest{Digests: digests}, &out)
	return out.Documents, err
}
