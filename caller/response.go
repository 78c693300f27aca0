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

// Finish holds the finish reason and the token counts of a complete answer.
type Finish struct {
	// Reason is "stop" or "length".
	Reason           string
	PromptTokens     int
	CompletionTokens int
}

// Responder sends one answer to a caller. It must be used by one goroutine only.
type Responder interface {
	// Tokens sends tokens, of which the first has the given offset in the answer.
	Tokens(offset int, tokens []string) error
	// Finish ends a complete answer.
	Finish(f Finish) error
	// Fail ends the answer with an error.
	Fail(e *result.Error)
	// KeepAlive keeps an idle connection open.
	KeepAlive() error
	// NextOffset returns the offset of the next token that Tokens expects.
	NextOffset() int
	// Delivered returns the number of tokens that were sent to the caller, including
	// those that a resuming caller already had.
	Delivered() int
	// DiscardUndelivered discards buffered tokens that were not sent. It reports
	// whether no tokens were sent, in which case another generation may answer the
	// request.
	DiscardUndelivered() bool
}

// ResponseMeta holds the ids and the service of an answer.
type ResponseMeta struct {
	Request    string
	Generation string
	Service    string
	Chat       bool
}

// writeTimeout limits each write of a stream, so that a caller that does not read
// does not block it.
const writeTimeout = 30 * time.Second

// StreamResponder is a Responder that sends server-sent events. It sends the headers
// with the first event, so that an earlier failure has its own HTTP status.
type StreamResponder struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	meta       *ResponseMeta
	// sentTokens is the number of tokens that the caller has, including those that
	// it had before it resumed.
	sentTokens  int
	headersSent bool
	buf         []byte
}

// NewStreamResponder returns a StreamResponder. Fields of meta may be set until the
// first event is sent. sentTokens is the number of tokens that the caller already
// has.
func NewStreamResponder(w http.ResponseWriter, meta *ResponseMeta, sentTokens int) *StreamResponder {
	return &StreamResponder{w: w, controller: http.NewResponseController(w), meta: meta, sentTokens: sentTokens}
}

// NextOffset implements Responder.
func (s *StreamResponder) NextOffset() int { return s.sentTokens }

// Delivered implements Responder.
func (s *StreamResponder) Delivered() int { return s.sentTokens }

// DiscardUndelivered implements Responder.
func (s *StreamResponder) DiscardUndelivered() bool { return s.sentTokens == 0 }

// sendHeaders sends the status and the headers before the first event.
func (s *StreamResponder) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, s.meta.Request)
	h.Set(HeaderGenerationID, s.meta.Generation)
	s.w.WriteHeader(http.StatusOK)
}

// choice is the only element of the choices in a response.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage holds the token counts of a complete answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is the response body, or the data of one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// object returns the object type of the answer in the OpenAI API.
func (m *ResponseMeta) object(stream bool) string {
	switch {
	case m.Chat && stream:
		return "chat.completion.chunk"
	case m.Chat:
		return "chat.completion"
	}
	return "text_completion"
}

// chunk returns the data of an event with the text. f is set for the last event
// of an answer.
func (s *StreamResponder) chunk(text string, f *Finish) completion {
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

// Tokens implements Responder. It skips tokens that were already sent and returns
// an error for a gap, so that the caller gets each offset once and in order.
func (s *StreamResponder) Tokens(offset int, tokens []string) error {
	if offset > s.sentTokens {
		return errors.Newf("tokens at offset %d leave a gap after %d sent tokens", offset, s.sentTokens)
	}
	skip := s.sentTokens - offset
	if skip >= len(tokens) {
		return nil
	}
	tokens = tokens[skip:]
	last := s.sentTokens + len(tokens) - 1
	if err := s.writeEvent(fmt.Sprintf("id: %d\n", last), s.chunk(strings.Join(tokens, ""), nil)); err != nil {
		return err
	}
	s.sentTokens += len(tokens)
	return nil
}

// Finish implements Responder.
func (s *StreamResponder) Finish(f Finish) error {
	if err := s.writeEvent("", s.chunk("", &f)); err != nil {
		return err
	}
	return s.write([]byte("data: [DONE]\n\n"))
}

// Fail implements Responder.
func (s *StreamResponder) Fail(e *result.Error) {
	if !s.headersSent {
		s.w.Header().Set(HeaderRequestID, s.meta.Request)
		result.Write(s.w, e)
		return
	}
	_ = s.writeEvent("event: error\n", map[string]*result.Error{"error": e})
}

// KeepAlive implements Responder. It does nothing before the first event, so that
// a later refusal has its own HTTP status.
func (s *StreamResponder) KeepAlive() error {
	if !s.headersSent {
		return nil
	}
	return s.write([]byte(": keep-alive\n\n"))
}

// writeEvent sends v as the data of an event. prefix holds the other fields of
// the event, each with its line end.
func (s *StreamResponder) writeEvent(prefix string, v any) error {
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

func (s *StreamResponder) write(data []byte) error {
	s.sendHeaders()
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "caller")
	}
	if _, err := s.w.Write(data); err != nil {
		return errors.Wrap(err, "caller")
	}
	return errors.Wrap(s.controller.Flush(), "caller")
}

// BufferedResponder is a Responder that buffers the answer and sends it at the end.
type BufferedResponder struct {
	w    http.ResponseWriter
	meta *ResponseMeta
	text strings.Builder
	// buffered is the number of tokens in text.
	buffered int
	// isSent is set when the answer is sent to the caller.
	isSent bool
}

// NewBufferedResponder returns a Responder for requests without streaming.
func NewBufferedResponder(w http.ResponseWriter, meta *ResponseMeta) *BufferedResponder {
	return &BufferedResponder{w: w, meta: meta}
}

// NextOffset implements Responder.
func (r *BufferedResponder) NextOffset() int { return r.buffered }

// Delivered implements Responder.
func (r *BufferedResponder) Delivered() int {
	if r.isSent {
		return r.buffered
	}
	return 0
}

// DiscardUndelivered implements Responder.
func (r *BufferedResponder) DiscardUndelivered() bool {
	r.text.Reset()
	r.buffered = 0
	return !r.isSent
}

// Tokens implements Responder.
func (r *BufferedResponder) Tokens(offset int, tokens []string) error {
	if offset > r.buffered {
		return errors.Newf("tokens at offset %d leave a gap after %d buffered tokens", offset, r.buffered)
	}
	for _, token := range tokens[min(r.buffered-offset, len(tokens)):] {
		r.text.WriteString(token)
		r.buffered++
	}
	return nil
}

// Finish implements Responder.
func (r *BufferedResponder) Finish(f Finish) error {
	c := choice{FinishReason: &f.Reason}
	if r.meta.Chat {
		c.Message = &message{Role: "assistant", Content: r.text.String()}
	} else {
		c.Text = r.text.String()
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set(HeaderRequestID, r.meta.Request)
	r.w.Header().Set(HeaderGenerationID, r.meta.Generation)
	r.isSent = true
	return errors.Wrap(json.NewEncoder(r.w).Encode(completion{
		ID: r.meta.Generation, Object: r.meta.object(false), Model: r.meta.Service,
		Choices: []choice{c}, Usage: f.usage(),
	}), "caller")
}

// Fail implements Responder.
func (r *BufferedResponder) Fail(e *result.Error) {
	r.w.Header().Set(HeaderRequestID, r.meta.Request)
	result.Write(r.w, e)
}

// KeepAlive implements Responder.
func (r *BufferedResponder) KeepAlive() error { return nil }
