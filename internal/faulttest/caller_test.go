package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// answer is what a caller got for one generation.
type answer struct {
	// key is the workspace's key, callerKey if empty.
	key        string
	request    string
	generation string
	text       string
	// last is the highest event id, -1 before the first.
	last     int
	complete bool
	failure  *result.Error
	status   int
	err      error
	// disorder counts event ids that did not grow.
	disorder int
}

// prompt asks the stand-in for an output of the given length.
func prompt(name string, length int) string { return fmt.Sprintf("%s <<len=%d>>", name, length) }

// generate sends a streamed completion to an entry.
func generate(ctx context.Context, addr, service, text string, seed *int64, each func(*answer)) *answer {
	body := map[string]any{"model": service, "prompt": text, "stream": true, "max_tokens": 20000}
	if seed != nil {
		body["seed"] = *seed
	}
	data, err := json.Marshal(body)
	if err != nil {
		return &answer{err: err}
	}
	return readAnswer(ctx, &answer{last: -1}, http.MethodPost, "http://"+addr+"/v1/completions", data, each)
}

// generateWhole sends a completion whose answer is not streamed.
func generateWhole(ctx context.Context, addr, service, text string) *answer {
	a := &answer{last: -1}
	data, err := json.Marshal(map[string]any{"model": service, "prompt": text, "max_tokens": 20000})
	if err != nil {
		a.err = err
		return a
	}
	resp := a.send(ctx, http.MethodPost, "http://"+addr+"/v1/completions", data)
	if resp == nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		ID      string `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if a.err = json.NewDecoder(resp.Body).Decode(&out); a.err != nil || len(out.Choices) != 1 {
		return a
	}
	a.generation, a.text, a.complete = out.ID, out.Choices[0].Text, true
	return a
}

// resume goes on with an answer through an entry.
func (a *answer) resume(ctx context.Context, addr string) *answer {
	a.err, a.failure = nil, nil
	return readAnswer(ctx, a, http.MethodGet, "http://"+addr+"/v1/generations/"+a.generation, nil, nil)
}

func readAnswer(ctx context.Context, a *answer, method, url string, body []byte, each func(*answer)) *answer {
	resp := a.send(ctx, method, url, body)
	if resp == nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.generation = resp.Header.Get(caller.HeaderGenerationID)
	a.read(resp.Body, each)
	return a
}

// send makes a request and returns a successful response, whose body the
// caller closes. Otherwise the failure is noted and nil returned.
func (a *answer) send(ctx context.Context, method, url string, body []byte) *http.Response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return nil
	}
	key := a.key
	if key == "" {
		key = callerKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if a.last >= 0 {
		req.Header.Set(caller.HeaderLastEventID, strconv.Itoa(a.last))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		return nil
	}
	a.status = resp.StatusCode
	a.request = resp.Header.Get(caller.HeaderRequestID)
	if resp.StatusCode == http.StatusOK {
		return resp
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	a.failure = result.Decode(text)
	return nil
}

func (a *answer) read(body io.Reader, each func(*answer)) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			a.err = err
			return
		}
		if event.Data == "[DONE]" {
			a.complete = true
			return
		}
		a.take(event)
		if each != nil {
			each(a)
		}
	}
	a.err = io.ErrUnexpectedEOF
}

func (a *answer) take(event sse.Event) {
	if event.Type == "error" {
		a.failure = result.Decode([]byte(event.Data))
		return
	}
	var chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		a.err = fmt.Errorf("bad chunk %q: %w", event.Data, err)
		return
	}
	if chunk.ID != "" {
		a.generation = chunk.ID
	}
	if chunk.Choices[0].Text == "" {
		return
	}
	id, err := strconv.Atoi(event.LastEventID)
	if err != nil || id <= a.last {
		a.disorder++
	}
	a.last = id
	a.text += chunk.Choices[0].Text
}

// invoke makes a call to a plain service through an entry.
func invoke(ctx context.Context, addr, method, path, key, body string) (status int, text string, failure *result.Error, err error) {
	return invokeWith(ctx, addr, method, path, body, map[string]string{caller.HeaderIdempotencyKey: key})
}

// invokeWith makes a call with headers; empty ones are left out.
func invokeWith(ctx context.Context, addr, method, path, body string, header map[string]string) (status int, text string, failure *result.Error, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), result.Decode(data), err
}

// fleetClient returns a client of the daemons' interface for each other.
func fleetClient() *peer.Client { return peer.NewClient(http.DefaultClient, peer.Keys{fleetKey}) }

// sees reports whether an entry has n usable targets.
func (f *fleet) sees(e *process, n int) bool {
	st, err := fleetClient().State(context.Background(), e.addr)
	return err == nil && st.UsableTargets == n
}
