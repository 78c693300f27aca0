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

// callerKey authenticates the demonstration's workspace.
const callerKey = "pedalia-demo-key"

// demoLimit bounds the whole demonstration.
const demoLimit = time.Minute

// documents returns the demonstration's configuration, that of a repair shop.
func documents() []config.Document {
	return []config.Document{{
		Name: "pedalia",
		Services: []config.Service{
			{Name: "repair-guide", Kind: config.KindModel, Model: "repair-7b", Priority: 1},
			{Name: "triage", Kind: config.KindModel, Model: "repair-7b", Short: true},
			{Name: "booking", Kind: config.KindPlain, Role: "booking", IdempotentMethods: []string{"GET"}, OnceMethods: []string{"POST"}},
		},
		Workspaces: []config.Workspace{{Name: "pedalia", Weight: 1, KeyHashes: []string{config.HashKey(callerKey)}}},
	}}
}

const defaultPrompt = "The foot pedal of an old sewing machine runs at full speed as soon as it is touched, " +
	"smells warm after a minute and sometimes does not start at all. Write the full repair, step by step. <<len=60>>"

// Run starts a fleet, sends one request of each kind and writes the answers to
// out. Decision lines go to logs. An empty prompt selects a built-in one.
func Run(ctx context.Context, out, logs io.Writer, prompt string) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	if prompt == "" {
		prompt = defaultPrompt
	}
	home := Place{Datacentre: "central-1", Region: "central"}
	logger := log.With(log.NewJSONLogger(log.NewSyncWriter(logs)), "ts", log.DefaultTimestampUTC)
	f, err := Start(Options{
		Engines: []Place{home, {Datacentre: "central-2", Region: "central"}}, Plains: []Place{home}, Entries: []Place{home},
		Engine: standin.DefaultEngineOptions(), PlainRole: "booking", Logger: logger,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Publish(ctx, documents()); err != nil {
		return err
	}
	d := &demonstration{ctx: ctx, out: out, url: f.EntryURLs[0]}
	d.generate("repair-guide", prompt)
	d.generate("triage", prompt+" <<len=6>>")
	d.book()
	return d.err
}

// demonstration sends requests and keeps the first error.
type demonstration struct {
	ctx context.Context
	out io.Writer
	url string
	err error
}

func (d *demonstration) say(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }

func (d *demonstration) generate(service, prompt string) {
	if d.err != nil {
		return
	}
	d.say("== %s\n", service)
	body, err := json.Marshal(map[string]any{"model": service, "prompt": prompt, "stream": true, "max_tokens": 512})
	if err != nil {
		d.err = errors.Wrap(err, "encode")
		return
	}
	resp, err := d.post("/v1/completions", "application/json", "", body)
	if err != nil {
		d.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	d.err = d.printStream(resp)
	d.say("\n[generation %s, %s %s]\n", resp.Header.Get(caller.HeaderGenerationID), caller.HeaderRequestID, resp.Header.Get(caller.HeaderRequestID))
}

func (d *demonstration) post(path, contentType, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(d.ctx, http.MethodPost, d.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, key)
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

func (d *demonstration) printStream(resp *http.Response) error {
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
			d.say("%s", c.Text)
		}
	}
	return errors.New("the stream ended without its end marker")
}

// book sends one deposit twice under the same key: it is charged once.
func (d *demonstration) book() {
	if d.err != nil {
		return
	}
	d.say("== booking\n")
	for range 2 {
		resp, err := d.post("/s/booking/deposits", "application/json", "visit-17", []byte(`{"visit":17,"deposit":25}`))
		if err != nil {
			d.err = err
			return
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			d.err = errors.Wrap(err, "booking")
			return
		}
		d.say("%s", text)
	}
}
