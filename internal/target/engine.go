// Package target holds the clients of the workloads on a target VM: a model engine
// or a plain service, which is any other HTTP service. Engines serve the OpenAI
// completions API and stream server-sent events whose ids are token offsets.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/quetzalglade/quetzalglade/internal/httphead"
)

// ErrUnknownCompletion is returned for response status 404: the engine does not hold
// the completion, for example because it was restarted.
var ErrUnknownCompletion = errors.New("engine does not hold the completion")

// RefusedError reports a response status other than 200 and 404. The status does not
// always exclude that the engine started the request.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target refused with status %d: %s", e.Status, e.Body)
}

// Completion is a completion request to an engine.
type Completion struct {
	// ID is chosen by the sender and identifies the completion at the engine.
	ID        string `json:"-"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	Seed      *int64 `json:"seed,omitempty"`
}

// Chunk is one event of a completion's stream.
type Chunk struct {
	// Offset is the index of Text among the completion's tokens, from 0.
	Offset int
	Text   string
	// Finish is the finish reason of the last chunk, which carries no text.
	Finish string
	// PromptTokens and CompletionTokens are the usage that the last chunk
	// reports.
	PromptTokens     int
	CompletionTokens int
}

// Engine is a client of one model engine. It may be used from any goroutine.
type Engine struct {
	baseURL string
	http    *http.Client
}

// NewEngine returns a client of the engine at baseURL ("http://127.0.0.1:8000").
func NewEngine(baseURL string, client *http.Client) *Engine {
	return &Engine{baseURL: strings.TrimSuffix(baseURL, "/"), http: client}
}

type wireChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type wireChunk struct {
	Choices []wireChoice `json:"choices"`
	Usage   *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// Start starts a completion and calls onChunk for every chunk in order. It returns
// nil only if the engine ended the stream with the marker "[DONE]", and stops at the
// first error of onChunk.
func (e *Engine) Start(ctx context.Context, c Completion, onChunk func(Chunk) error) error {
	c.Stream = true
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode completion")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", c.ID)
	return e.stream(req, onChunk)
}

// Resume continues the stream of a completion after its first receivedTokens
// tokens. It returns ErrUnknownCompletion if the engine does not hold the
// completion.
func (e *Engine) Resume(ctx context.Context, id string, receivedTokens int, onChunk func(Chunk) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/completions/"+id, nil)
	if err != nil {
		return errors.Wrap(err, "create engine request")
	}
	req.Header.Set("Last-Event-ID", strconv.Itoa(receivedTokens-1))
	return e.stream(req, onChunk)
}

func (e *Engine) stream(req *http.Request, onChunk func(Chunk) error) error {
	req.Header.Set("Accept", "text/event-stream")
	// See Plain.Do.
	req.Close = true
	resp, err := e.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return errors.Wrap(err, "read engine stream")
		}
		if event.Data == "[DONE]" {
			return nil
		}
		chunk, err := decodeChunk(event)
		if err != nil {
			return err
		}
		if err := onChunk(chunk); err != nil {
			return err
		}
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "read engine stream")
}

// maxErrorBodyBytes limits how much of the body of an error response is read.
const maxErrorBodyBytes = 4 << 10

// responseError converts a response status other than 200 into an error.
func responseError(resp *http.Response) error {
	if resp.StatusCode == http.StatusNotFound {
		return ErrUnknownCompletion
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return errors.Wrap(err, "read engine error response")
	}
	return &RefusedError{Status: resp.StatusCode, Body: string(body)}
}

// decodeChunk decodes one event of a completion's stream. The event's id is the offset
// of the chunk, except for the last chunk.
func decodeChunk(event sse.Event) (Chunk, error) {
	var decoded wireChunk
	if err := json.Unmarshal([]byte(event.Data), &decoded); err != nil {
		return Chunk{}, errors.Wrap(err, "decode engine chunk")
	}
	if len(decoded.Choices) != 1 {
		return Chunk{}, errors.Newf("engine chunk has %d choices, want 1", len(decoded.Choices))
	}
	c := Chunk{Text: decoded.Choices[0].Text, Finish: decoded.Choices[0].FinishReason}
	if decoded.Usage != nil {
		c.PromptTokens = decoded.Usage.PromptTokens
		c.CompletionTokens = decoded.Usage.CompletionTokens
	}
	if c.PromptTokens < 0 || c.CompletionTokens < 0 {
		return Chunk{}, errors.New("engine chunk has a negative token count")
	}
	if c.Finish != "" {
		return c, nil
	}
	offset, err := strconv.Atoi(event.LastEventID)
	if err != nil {
		return Chunk{}, errors.Wrap(err, "parse engine event id")
	}
	if offset < 0 {
		return Chunk{}, errors.New("engine event id is negative")
	}
	c.Offset = offset
	return c, nil
}

// Cancel ends a completion. An unknown completion is not an error.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.baseURL+"/v1/completions/"+id, nil)
	if err != nil {
		return errors.Wrap(err, "create engine request")
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "cancel engine completion")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return errors.Newf("cancel engine completion: unexpected status %d", resp.StatusCode)
	}
	return nil
}

// Answers reports whether the engine responds to a request for its models, with any status and
// also with an invalid head.
func (e *Engine) Answers(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/models", nil)
	if err != nil {
		return false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return errors.Is(err, httphead.ErrInvalid)
	}
	_ = resp.Body.Close()
	return true
}

// maxModelsBytes limits the body of a list of models.
const maxModelsBytes = 256 << 10

// Models returns the names of the loaded models and adapters.
func (e *Engine) Models(ctx context.Context) ([]string, error) {
	var out struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/models", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "list engine models")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxModelsBytes)).Decode(&out); err != nil {
		return nil, errors.Wrap(err, "list engine models")
	}
	var models []string
	for _, m := range out.Data {
		models = append(models, m.ID)
	}
	return models, nil
}
