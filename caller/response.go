package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/result"
)

// Finish closes a complete answer.
type Finish struct {
	Reason           string
	PromptTokens     int
	CompletionTokens int
}

// Responder sends one answer to a caller. It is used by one goroutine.
type Responder interface {
	// Tokens sends the tokens from an offset on.
	Tokens(offset int, tokens []string) error
	// Finish closes a complete answer.
	Finish(f Finish) error
	// Fail closes an answer with an error.
	Fail(e *result.Error)
	// KeepAlive keeps a silent connection open.
	KeepAlive() error
	// Next returns the offset of the first token that was not taken yet.
	Next() int
	// Delivered returns the number of tokens handed to the caller.
	Delivered() int
	// Restart drops tokens that were taken and not delivered. It reports
	// whether nothing was delivered, so that another generation may answer.
	Restart() bool
}

// Meta identifies an answer.
type Meta struct {
	Request    string
	Generation string
	Service    string
	Chat       bool
}

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 30 * time.Second

// Stream is a Responder that sends server-sent events. Headers are sent with
// the first event, so that an earlier failure has its own HTTP status.
type Stream struct {
	w    http.ResponseWriter
	rc   *http.ResponseController
	meta *Meta
	sent int
	open bool
	buf  []byte
}

// NewStream returns a stream; meta may be completed until the first event.
// sent is the number of tokens that the caller already has.
func NewStream(w http.ResponseWriter, meta *Meta, sent int) *Stream {
	return &Stream{w: w, rc: http.NewResponseController(w), meta: meta, sent: sent}
}

// Next implements Responder.
func (s *Stream) Next() int { return s.sent }

// Delivered implements Responder.
func (s *Stream) Delivered() int { return s.sent }

// Restart implements Responder.
func (s *Stream) Restart() bool { return s.sent == 0 }

func (s *Stream) start() {
	if s.open {
		return
	}
	s.open = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, s.meta.Request)
	h.Set(HeaderGenerationID, s.meta.Generation)
	s.w.WriteHeader(http.StatusOK)
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (m *Meta) object(stream bool) string {
	switch {
	case m.Chat && stream:
		return "chat.completion.chunk"
	case m.Chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (s *Stream) chunk(text string, f *Finish) completion {
	c := choice{}
	if s.meta.Chat {
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	out := completion{ID: s.meta.Generation, Object: s.meta.object(true), Model: s.meta.Service}
	if f != nil {
		c.FinishReason = &f.Reason
		out.Usage = f.usage()
	}
	out.Choices = []choice{c}
	return out
}

func (f *Finish) usage() *usage {
	return &usage{
		PromptTokens:     f.PromptTokens,
		CompletionTokens: f.CompletionTokens,
		TotalTokens:      f.PromptTokens + f.CompletionTokens,
	}
}

// Tokens implements Responder. Tokens that were sent before are skipped, a gap
// is an error: the caller gets each offset once and in order.
func (s *Stream) Tokens(offset int, tokens []string) error {
	if offset > s.sent {
		return errors.Newf("gap before token %d, %d sent", offset, s.sent)
	}
	skip := s.sent - offset
	if skip >= len(tokens) {
		return nil
	}
	tokens = tokens[skip:]
	last := s.sent + len(tokens) - 1
	if err := s.event(fmt.Sprintf("id: %d\n", last), s.chunk(strings.Join(tokens, ""), nil)); err != nil {
		return err
	}
	s.sent += len(tokens)
	return nil
}

// Finish implements Responder.
func (s *Stream) Finish(f Finish) error {
	if err := s.event("", s.chunk("", &f)); err != nil {
		return err
	}
	return s.write([]byte("data: [DONE]\n\n"))
}

// Fail implements Responder.
func (s *Stream) Fail(e *result.Error) {
	if !s.open {
		s.w.Header().Set(HeaderRequestID, s.meta.Request)
		result.Write(s.w, e)
		return
	}
	_ = s.event("event: error\n", map[string]*result.Error{"error": e})
}

// KeepAlive implements Responder. Before the first event it does nothing, so
// that a refusal keeps its status.
func (s *Stream) KeepAlive() error {
	if !s.open {
		return nil
	}
	return s.write([]byte(": keep-alive\n\n"))
}

func (s *Stream) event(prefix string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	s.buf = append(s.buf[:0], prefix...)
	s.buf = append(s.buf, "data: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	return s.write(s.buf)
}

func (s *Stream) write(data []byte) error {
	s.start()
	if err := s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "caller")
	}
	if _, err := s.w.Write(data); err != nil {
		return errors.Wrap(err, "caller")
	}
	return errors.Wrap(s.rc.Flush(), "caller")
}

// Whole is a Responder that collects the answer and sends it at the end.
type Whole struct {
	w    http.ResponseWriter
	meta *Meta
	text strings.Builder
	held int
	// sent is set when the answer was handed to the caller.
	sent bool
}

// NewWhole returns a responder for callers that do not stream.
func NewWhole(w http.ResponseWriter, meta *Meta) *Whole { return &Whole{w: w, meta: meta} }

// Next implements Responder.
func (a *Whole) Next() int { return a.held }

// Delivered implements Responder.
func (a *Whole) Delivered() int {
	if a.sent {
		return a.held
	}
	return 0
}

// Restart implements Responder.
func (a *Whole) Restart() bool {
	a.text.Reset()
	a.held = 0
	return !a.sent
}

// Tokens implements Responder.
func (a *Whole) Tokens(offset int, tokens []string) error {
	if offset > a.held {
		return errors.Newf("gap before token %d, %d held", offset, a.held)
	}
	for _, t := range tokens[min(a.held-offset, len(tokens)):] {
		a.text.WriteString(t)
		a.held++
	}
	return nil
}

// Finish implements Responder.
func (a *Whole) Finish(f Finish) error {
	c := choice{FinishReason: &f.Reason}
	if a.meta.Chat {
		c.Message = &message{Role: "assistant", Content: a.text.String()}
	} else {
		c.Text = a.text.String()
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(HeaderRequestID, a.meta.Request)
	a.w.Header().Set(HeaderGenerationID, a.meta.Generation)
	a.sent = true
	return errors.Wrap(json.NewEncoder(a.w).Encode(completion{
		ID: a.meta.Generation, Object: a.meta.object(false), Model: a.meta.Service,
		Choices: []choice{c}, Usage: f.usage(),
	}), "caller")
}

// Fail implements Responder.
func (a *Whole) Fail(e *result.Error) {
	a.w.Header().Set(HeaderRequestID, a.meta.Request)
	result.Write(a.w, e)
}

// KeepAlive implements Responder.
func (a *Whole) KeepAlive() error { return nil }
