// Package caller implements the interface towards callers: the OpenAI
// completions and chat-completions API with server-sent events. Event ids are
// token offsets, so that a caller resumes with Last-Event-ID.
package caller

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/result"
)

// Headers of the interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyFirst set to "true" says that the caller has not sent the
	// key before, so that a refusal without a look-up of the key can say that
	// the call did not run.
	HeaderIdempotencyFirst = "Idempotency-First"
	HeaderLastEventID      = "Last-Event-ID"
	HeaderRequestID        = "X-Request-Id"
	HeaderGenerationID     = "X-Generation-Id"
)

// Completion is a validated request for a generation.
type Completion struct {
	// Service is the declared service, sent as "model".
	Service   string
	Prompt    string
	MaxTokens int
	Stream    bool
	Seed      *int64
	Chat      bool
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Seed      *int64          `json:"seed"`
}

// bodyTimeout bounds the time in which a request's body arrives.
const bodyTimeout = 10 * time.Second

// ReadBody reads a request body of at most limit bytes from a sender that is
// not too slow.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, result.New(result.Internal, result.RanNo, "the connection has no deadlines")
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, result.RanNo, "the body exceeds %d bytes", limit)
	case err != nil:
		// The deadline stays, so that the server does not wait for the rest.
		w.Header().Set("Connection", "close")
		return nil, result.New(result.InvalidRequest, result.RanNo, "the body could not be read in time")
	}
	// The connection is read until the answer's end, to notice a caller that leaves.
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, result.New(result.Internal, result.RanNo, "the connection has no deadlines")
	}
	return data, nil
}

// ParseCompletion validates the body of a completion or, if chat is set, of a
// chat completion.
func ParseCompletion(body []byte, chat bool) (*Completion, *result.Error) {
	var w wireRequest
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, invalid("the body is not a JSON object of the completions API")
	}
	c := &Completion{Service: w.Model, MaxTokens: w.MaxTokens, Stream: w.Stream, Seed: w.Seed, Chat: chat}
	if c.Service == "" {
		return nil, invalid("model is missing")
	}
	if c.MaxTokens < 0 {
		return nil, invalid("max_tokens is negative")
	}
	prompt, refusal := w.prompt(chat)
	if refusal != nil {
		return nil, refusal
	}
	c.Prompt = prompt
	return c, nil
}

func invalid(message string) *result.Error {
	return result.New(result.InvalidRequest, result.RanNo, "%s", message)
}

func (w *wireRequest) prompt(chat bool) (string, *result.Error) {
	if chat {
		return joinMessages(w.Messages)
	}
	var prompt string
	if json.Unmarshal(w.Prompt, &prompt) != nil || prompt == "" {
		return "", invalid("prompt must be a non-empty string")
	}
	return prompt, nil
}

func joinMessages(messages []message) (string, *result.Error) {
	if len(messages) == 0 {
		return "", invalid("messages is empty")
	}
	var b strings.Builder
	for _, m := range messages {
		if m.Role == "" {
			return "", invalid("a message has no role")
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// BytesPerToken is the customary estimate for text.
const BytesPerToken = 4

// EstimateTokens estimates the number of tokens of a prompt.
func EstimateTokens(prompt string) int { return len(prompt)/BytesPerToken + 1 }

// ResumeOffset returns the offset from which a resuming caller wants tokens:
// the one after Last-Event-ID, or 0 without the header.
func ResumeOffset(r *http.Request) (int, *result.Error) {
	id := r.Header.Get(HeaderLastEventID)
	if id == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(id)
	if err != nil || n < 0 || n == math.MaxInt {
		return 0, result.New(result.InvalidEventID, result.RanUnknown, "Last-Event-ID is not a token offset")
	}
	return n + 1, nil
}
