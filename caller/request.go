// Package caller implements the HTTP API for callers: the OpenAI completions and
// chat-completions API with server-sent events. Event ids are token offsets, so
// a caller can resume a stream with Last-Event-ID.
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

// Headers of the API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyFirst is "true" if the caller has not sent the key before.
	// A call that is refused before its key is looked up then certainly did not run,
	// and the refusal states so.
	HeaderIdempotencyFirst = "Idempotency-First"
	HeaderLastEventID      = "Last-Event-ID"
	HeaderRequestID        = "X-Request-Id"
	HeaderGenerationID     = "X-Generation-Id"
)

// Completion is a validated request of the completions or chat-completions API.
type Completion struct {
	// Service is the name of the service, the "model" of the request.
	Service   string
	Prompt    string
	MaxTokens int
	Stream    bool
	Seed      *int64
	Chat      bool
}

// message is a chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestBody is the JSON body of a completion request.
type requestBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Seed      *int64          `json:"seed"`
}

// bodyTimeout limits the time to read a request body.
const bodyTimeout = 10 * time.Second

// ReadBody reads a request body of at most limit bytes within bodyTimeout.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, result.New(result.Internal, result.RanNo, "the connection has no deadlines")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, result.RanNo, "the body exceeds %d bytes", limit)
	case err != nil:
		// The deadline is not reset, so that the server does not wait for the
		// rest of the body.
		w.Header().Set("Connection", "close")
		return nil, result.New(result.InvalidRequest, result.RanNo, "the body could not be read in time")
	}
	// The server reads the connection until the end of the response to detect a
	// caller that disconnects.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, result.New(result.Internal, result.RanNo, "the connection has no deadlines")
	}
	return body, nil
}

// ParseCompletion parses and validates the body of a completion request or, if
// chat is set, of a chat-completion request.
func ParseCompletion(body []byte, chat bool) (*Completion, *result.Error) {
	var req requestBody
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, invalid("the body is not a JSON object of the completions API")
	}
	c := &Completion{Service: req.Model, MaxTokens: req.MaxTokens, Stream: req.Stream, Seed: req.Seed, Chat: chat}
	if c.Service == "" {
		return nil, invalid("model is missing")
	}
	if c.MaxTokens < 0 {
		return nil, invalid("max_tokens is negative")
	}
	prompt, refusal := req.prompt(chat)
	if refusal != nil {
		return nil, refusal
	}
	c.Prompt = prompt
	return c, nil
}

// invalid returns the refusal of an invalid request.
func invalid(message string) *result.Error {
	return result.New(result.InvalidRequest, result.RanNo, "%s", message)
}

// prompt returns the prompt of a completion, or the joined messages of a chat.
func (r *requestBody) prompt(chat bool) (string, *result.Error) {
	if chat {
		return joinMessages(r.Messages)
	}
	var prompt string
	if json.Unmarshal(r.Prompt, &prompt) != nil || prompt == "" {
		return "", invalid("prompt must be a non-empty string")
	}
	return prompt, nil
}

// joinMessages returns one line "role: content" per message.
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

// BytesPerToken is the customary estimate of the bytes of text per token.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of a prompt, at least 1.
func EstimateTokens(prompt string) int { return len(prompt)/BytesPerToken + 1 }

// ResumeOffset returns the offset of the first token that a resuming caller
// needs: the offset after Last-Event-ID, or 0 without the header.
func ResumeOffset(r *http.Request) (int, *result.Error) {
	id := r.Header.Get(HeaderLastEventID)
	if id == "" {
		return 0, nil
	}
	last, err := strconv.Atoi(id)
	if err != nil || last < 0 || last == math.MaxInt {
		return 0, result.New(result.InvalidEventID, result.RanUnknown, "Last-Event-ID is not a token offset")
	}
	return last + 1, nil
}
