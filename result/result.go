// Package result defines the numbered errors that quetzalglade returns to
// callers, operators and its own processes. Each code has a fixed HTTP status
// and a short name; docs/RESULT-CODES.md lists all codes.
package result

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran is the execution state of a request's work: whether a target executed it.
type Ran string

// The execution states. RanNo means that the work has not started and will not
// start later.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure with its code. Callers receive it as JSON.
type Error struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// Ran states whether a target executed the work.
	Ran Ran `json:"ran"`
	// RetryAfterMillis is the suggested delay before a retry, 0 for none.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// GenerationID is the id of the generation that failed, if any.
	GenerationID string `json:"generation_id,omitempty"`
	// Delivered is the number of tokens delivered before the failure.
	Delivered int `json:"delivered,omitempty"`
}

// New returns an Error with the given code. Callers receive the message, so it
// must not name hosts or other workspaces.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: code, Name: code.Name(), Ran: ran, Message: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", e.Code, e.Name, e.Ran, e.Message)
}

// RetryAfter returns a copy of e that suggests a delay before a retry.
func (e *Error) RetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfterMillis = d.Milliseconds()
	return &c
}

// ForGeneration returns a copy of e with the id of a generation and the number
// of its tokens that were delivered.
func (e *Error) ForGeneration(id string, delivered int) *Error {
	c := *e
	c.GenerationID = id
	c.Delivered = delivered
	return &c
}

// WithRan returns a copy of e with another value of Ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithDelivered returns a copy of e with another number of delivered tokens.
func (e *Error) WithDelivered(tokens int) *Error {
	c := *e
	c.Delivered = tokens
	return &c
}

// From returns the *Error in err's chain. If there is none, it returns an error
// with the code Internal and RanUnknown. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, RanUnknown, "internal error")
}

// Is reports whether err's chain contains an *Error with the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// envelope is the JSON body of an error response.
type envelope struct {
	Error *Error `json:"error"`
}

// Write sends e as a JSON response with the HTTP status of its code. If e
// suggests a retry delay, the Retry-After header holds it in whole seconds,
// rounded up.
func Write(w http.ResponseWriter, e *Error) {
	if e.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", fmt.Sprint((e.RetryAfterMillis+999)/1000))
	}
	WriteBody(w, e, e.Code.Status())
}

// WriteBody sends e as a JSON response with the given status. It sets no header
// other than Content-Type.
func WriteBody(w http.ResponseWriter, e *Error, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(envelope{Error: e})
}

// Decode parses a response body that Write sent. It returns nil if the body
// holds no error.
func Decode(body []byte) *Error {
	var env envelope
	if json.Unmarshal(body, &env) != nil {
		return nil
	}
	return env.Error
}
