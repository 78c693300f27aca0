package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/tmaxmax/go-sse"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// callerKey is the API key of the demo's workspace.
const callerKey = "pedalia-demo-key"

// demoTimeout limits the duration of the demo.
const demoTimeout = time.Minute

// documents returns the configuration of the demo, a repair shop.
func documents() []config.Document {
	return []config.Document{{
		Name: "pedalia",
		Services: []config.Service{
			{Name: "repair-guide", Kind: config.KindModel, Model: "repair-7b", Priority: 1},
			{Name: "triage", Kind: config.KindModel, Model: "repair-7b", Short: true},
			{Name: "booking", Kind: config.KindPlain, Role: "booking", IdempotentMethods: []string{"GET"}, AtMostOnceMethods: []string{"POST"}},
		},
		Workspaces: []config.Workspace{{Name: "pedalia", Weight: 1, KeyHashes: []string{config.HashKey(callerKey)}}},
	}}
}

const defaultPrompt = "The foot pedal of an old sewing machine runs at full speed as soon as it is touched, " +
	"smells warm after a minute and sometimes does not start at all. Write the full repair, step by step. <<len=60>>"

// Run starts a fleet, sends requests to each service and writes the responses to
// out. The log lines of the fleet, decision records among them, go to logs. An
// empty prompt selects a built-in one.
func Run(ctx context.Context, out, logs io.Writer, prompt string) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if prompt == "" {
		prompt = defaultPrompt
	}
	location := Location{Datacentre: "central-1", Region: "central"}
	logger := log.With(log.NewJSONLogger(log.NewSyncWriter(logs)), "ts", log.DefaultTimestampUTC)
	f, err := Start(Options{
		Engines: []Location{location, {Datacentre: "central-2", Region: "central"}}, Plains: []Location{location}, Entries: []Location{location},
		Engine: standin.DefaultEngineOptions(), PlainRole: "booking", Logger: logger,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Publish(ctx, documents()); err != nil {
		return err
	}
	s := &session{ctx: ctx, out: out, url: f.EntryURLs[0]}
	s.generate("repair-guide", prompt)
	s.generate("triage", prompt+" <<len=6>>")
	s.book()
	return s.err
}

// session sends the requests of a demo and keeps the first error. After an error
// generate and book do nothing.
type session struct {
	ctx context.Context
	out io.Writer
	url string
	err error
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

func (s *session) generate(service, prompt string) {
	if s.err != nil {
		return
	}
	s.printf("== %s\n", service)
	body, err := json.Marshal(map[string]any{"model": service, "prompt": prompt, "stream": true, "max_tokens": 512})
	if err != nil {
		s.err = errors.Wrap(err, "encode")
		return
	}
	resp, err := s.post("/v1/completions", "application/json", "", body)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.err = s.printStream(resp)
	s.printf("\n[generation %s, %s %s]\n", resp.Header.Get(caller.HeaderGenerationID), caller.HeaderRequestID, resp.Header.Get(caller.HeaderRequestID))
}

func (s *session) post(path, contentType, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, s.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", contentType)
	if idempotencyKey != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, errors.Newf("%s: status %d: %s", path, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return resp, nil
}

func (s *session) printStream(resp *http.Response) error {
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return errors.Wrap(err, "stream")
		}
		if event.Data == "[DONE]" {
			return nil
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return errors.Wrap(err, "chunk")
		}
		for _, c := range chunk.Choices {
			s.printf("%s", c.Text)
		}
	}
	return errors.New("the stream ended without its end marker")
}

// book sends a deposit twice with the same idempotency key and prints both responses,
// which are the same because the service runs the call once.
func (s *session) book() {
	if s.err != nil {
		return
	}
	s.printf("== booking\n")
	for range 2 {
		resp, err := s.post("/s/booking/deposits", "application/json", "visit-17", []byte(`{"visit":17,"deposit":25}`))
		if err != nil {
			s.err = err
			return
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			s.err = errors.Wrap(err, "booking")
			return
		}
		s.printf("%s", text)
	}
}
