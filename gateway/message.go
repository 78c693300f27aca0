// Package gateway implements the process between clients and targets: it
// authenticates requests, chooses targets and relays their responses. It uses
// plain HTTP on both sides; a Codec translates the headers of the protocol in
// use.
package gateway

import (
	"net/http"
	"time"

	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
)

// RequestMeta is the metadata that a client sends with a request.
type RequestMeta struct {
	// ID identifies the request. A client that sends a request again uses a new
	// ID.
	ID string
	// Key is the API key that authenticates the workspace.
	Key string
	// Timeout is the time that the client waits for the response, 0 if not
	// stated.
	Timeout time.Duration
	// PromptTokens and MaxOutput are the prompt size and the maximum output of
	// a generation in tokens, 0 if unknown. OutputHint is the client's estimate
	// of the output in tokens, 0 if unknown.
	PromptTokens int
	MaxOutput    int
	OutputHint   int
	// LastEventID is the ID of the last event of a stream that the client has received
	// in an earlier response, "" if it states none. It is forwarded unchanged.
	LastEventID string
	// SharedParts are the IDs of the parts of the prompt that other requests may
	// share, in the order of the prompt.
	SharedParts []string
}

// AttemptMeta is the metadata that a target receives with a request.
type AttemptMeta struct {
	// Target is the id of the intended target incarnation; any other
	// incarnation rejects the request.
	Target    string
	Workspace string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority is the priority of the request at the target; 0 is the highest.
	Priority int
	// BackupAddr is the address of the target that receives the backup of the
	// request's KV cache, "" for none.
	BackupAddr string
	backup     *registry.Target
	// Resume continues a streaming request from a copy of its KV cache, nil for
	// a new request.
	Resume *Resume
	// LastEventID is the ID of the last event that the client has received. It makes a run
	// from the start continue after that event; if it is "", the client's own value is
	// left in place. With Resume it is unused.
	LastEventID string
}

// Resume identifies a copy of a request's KV cache and the last event that was
// delivered.
type Resume struct {
	// HolderAddr is the address of the engine that knows the copy as Handle: the
	// target of a backup, or the source engine of a migration.
	HolderAddr  string
	Handle      string
	LastEventID string
}

// TargetNotice is what a target states about itself in any of its responses.
type TargetNotice struct {
	// Leaving is set if the target stops soon and wants no new work.
	Leaving bool
	// RetryAfter is how long the target, which has turned a request away because of its
	// load, wants no further ones from this process; 0 if not stated.
	RetryAfter time.Duration
}

// ResponseMeta is the metadata in a target's response.
type ResponseMeta struct {
	TargetNotice
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if the response was produced by the target itself.
	Signed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if the response shows that another target now has the
	// address.
	WrongTarget bool
	// Load is the target's load, nil if not stated.
	Load *ResponseLoad
	// IdleTimeout is how long the target keeps an idle connection open, 0 if
	// unknown.
	IdleTimeout time.Duration
}

// ResponseLoad is the load that a target states in a response.
type ResponseLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the factor by which work currently takes longer than at the
	// reference speed; 1 is normal.
	Slowdown float64
}

// Codec translates between the headers of a protocol and the types of this
// package.
type Codec interface {
	// ReadRequest reads the headers of a client's request.
	ReadRequest(h http.Header) (RequestMeta, error)
	// StripInternalHeaders removes headers that clients must not set.
	StripInternalHeaders(h http.Header)
	// WriteAttempt sets the headers of a request to a target.
	WriteAttempt(h http.Header, a *AttemptMeta)
	// ReadResponse reads the headers of a target's response.
	ReadResponse(resp *http.Response) ResponseMeta
	// Status returns the HTTP status for an error that the gateway produces. By
	// default, it is the status of the error's code.
	Status(failure *result.Error) int
	// SetRetryAfter sets the delay after which the client is asked to retry.
	SetRetryAfter(h http.Header, after time.Duration)
}
