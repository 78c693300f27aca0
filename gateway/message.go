// Package gateway implements the process between clients and targets: it
// authenticates requests, chooses targets and relays their responses. It uses
// plain HTTP on both sides; a Codec translates the headers of the protocol in
// use.
package gateway

import (
	"net/http"
	"time"

	"github.com/quetzalglade/quetzalglade/result"
)

// Meta is the metadata that a client sends with a request.
type Meta struct {
	// ID identifies one attempt of a client.
	ID string
	// Key is the API key that authenticates the workspace.
	Key string
	// Deadline is the time that the client waits for the response, 0 if not
	// stated.
	Deadline time.Duration
	// PromptTokens and MaxOutput are the prompt size and the maximum output of
	// a generation in tokens, 0 if unknown. OutputHint is the client's estimate
	// of the output in tokens, 0 if unknown.
	PromptTokens int
	MaxOutput    int
	OutputHint   int
}

// Attempt is the metadata that a target receives with a request.
type Attempt struct {
	// Target is the id of the intended target incarnation; any other
	// incarnation rejects the request.
	Target    string
	Workspace string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Urgency is the priority of the request at the target; 0 is the highest.
	Urgency int
	// Backup is the address of the target that receives the backup of the
	// request's KV cache, "" for none.
	Backup string
	// Resume continues a streaming request from a copy of its KV cache, nil for
	// a new request.
	Resume *Resume
}

// Resume identifies a copy of a request's KV cache and the last event that was
// delivered.
type Resume struct {
	// Holder is the address of the target that holds the copy, Handle the name
	// of the copy at that target.
	Holder      string
	Handle      string
	LastEventID string
}

// Answer is the metadata in a target's response.
type Answer struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if the response was produced by the target itself.
	Signed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if another target now has the address.
	WrongTarget bool
	// Load is the target's load, nil if not stated.
	Load *Load
	// IdleTimeout is how long the target keeps an idle connection open, 0 if
	// unknown.
	IdleTimeout time.Duration
}

// Load is the load that a target states in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the factor by which work currently takes longer than normal;
	// 1 is normal.
	Slowdown float64
}

// Codec translates between the headers of a protocol and the types of this
// package.
type Codec interface {
	// Meta reads the headers of a client's request.
	Meta(h http.Header) (Meta, error)
	// Clean removes headers that clients must not set.
	Clean(h http.Header)
	// Attempt sets the headers of a request to a target.
	Attempt(h http.Header, a *Attempt)
	// Answer reads the headers of a target's response.
	Answer(resp *http.Response) Answer
	// Status returns the HTTP status for an error that the gateway produces. By
	// default, it is the status of the error's code.
	Status(failure *result.Error) int
	// RetryAfter sets the delay after which the client is asked to retry.
	RetryAfter(h http.Header, after time.Duration)
}
