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

// completion is the response that a caller received for one generation.
type completion struct {
	// apiKey is the workspace's API key to send, callerKey if empty.
	apiKey       string
	requestID    string
	generationID string
	text         string
	// lastEventID is the id of the last event with text, -1 before the first. The
	// ids count the generated tokens from 0.
	lastEventID int
	complete    bool
	failure     *result.Error
	status      int
	err         error
	// outOfOrder counts events whose id is not an integer above the previous id.
	outOfOrder int
}

// prompt returns a prompt that makes the stand-in engine generate length tokens.
func prompt(name string, length int) string { return fmt.Sprintf("%s <<len=%d>>", name, length) }

// generate sends a streaming completion request to an entry and reads the
// response. A seed, if not nil, makes the output reproducible. If onEvent is not
// nil, it is called after each event.
func generate(ctx context.Context, entryAddr, service, promptText string, seed *int64, onEvent func(*completion)) *completion {
	body := map[string]any{"model": service, "prompt": promptText, "stream": true, "max_tokens": 20000}
	if seed != nil {
		body["seed"] = *seed
	}
	data, err := json.Marshal(body)
	if err != nil {
		return &completion{err: err}
	}
	return readCompletion(ctx, &completion{lastEventID: -1}, http.MethodPost, "http://"+entryAddr+"/v1/completions", data, onEvent)
}

// generateUnstreamed sends a completion request without streaming.
func generateUnstreamed(ctx context.Context, entryAddr, service, promptText string) *completion {
	c := &completion{lastEventID: -1}
	data, err := json.Marshal(map[string]any{"model": service, "prompt": promptText, "max_tokens": 20000})
	if err != nil {
		c.err = err
		return c
	}
	resp := c.send(ctx, http.MethodPost, "http://"+entryAddr+"/v1/completions", data)
	if resp == nil {
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		ID      string `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if c.err = json.NewDecoder(resp.Body).Decode(&reply); c.err != nil || len(reply.Choices) != 1 {
		return c
	}
	c.generationID, c.text, c.complete = reply.ID, reply.Choices[0].Text, true
	return c
}

// resume continues reading the completion through an entry, after lastEventID.
func (c *completion) resume(ctx context.Context, entryAddr string) *completion {
	c.err, c.failure = nil, nil
	return readCompletion(ctx, c, http.MethodGet, "http://"+entryAddr+"/v1/generations/"+c.generationID, nil, nil)
}

func readCompletion(ctx context.Context, c *completion, method, url string, body []byte, onEvent func(*completion)) *completion {
	resp := c.send(ctx, method, url, body)
	if resp == nil {
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	c.generationID = resp.Header.Get(caller.HeaderGenerationID)
	c.readEvents(resp.Body, onEvent)
	return c
}

// send sends a request and returns the response, whose body must be closed, if its
// status is 200. Otherwise send records the failure and returns nil.
func (c *completion) send(ctx context.Context, method, url string, body []byte) *http.Response {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		c.err = err
		return nil
	}
	apiKey := c.apiKey
	if apiKey == "" {
		apiKey = callerKey
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if c.lastEventID >= 0 {
		req.Header.Set(caller.HeaderLastEventID, strconv.Itoa(c.lastEventID))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.err = err
		return nil
	}
	c.status = resp.StatusCode
	c.requestID = resp.Header.Get(caller.HeaderRequestID)
	if resp.StatusCode == http.StatusOK {
		return resp
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	c.failure = result.Decode(data)
	return nil
}

func (c *completion) readEvents(body io.Reader, onEvent func(*completion)) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			c.err = err
			return
		}
		if event.Data == "[DONE]" {
			c.complete = true
			return
		}
		c.addEvent(event)
		if onEvent != nil {
			onEvent(c)
		}
	}
	c.err = io.ErrUnexpectedEOF
}

func (c *completion) addEvent(event sse.Event) {
	if event.Type == "error" {
		c.failure = result.Decode([]byte(event.Data))
		return
	}
	var chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		c.err = fmt.Errorf("decode chunk %q: %w", event.Data, err)
		return
	}
	if chunk.ID != "" {
		c.generationID = chunk.ID
	}
	if chunk.Choices[0].Text == "" {
		return
	}
	eventID, err := strconv.Atoi(event.LastEventID)
	if err != nil || eventID <= c.lastEventID {
		c.outOfOrder++
	}
	c.lastEventID = eventID
	c.text += chunk.Choices[0].Text
}

// invokeWithKey sends a request to a path of an entry. It sends no idempotency key
// if idempotencyKey is empty.
func invokeWithKey(ctx context.Context, entryAddr, method, path, idempotencyKey, body string) (status int, responseBody string, failure *result.Error, err error) {
	return invoke(ctx, entryAddr, method, path, body, map[string]string{caller.HeaderIdempotencyKey: idempotencyKey})
}

// invoke sends a request to a path of an entry with the API key callerKey and the
// given headers. Headers with an empty value are not sent.
func invoke(ctx context.Context, entryAddr, method, path, body string, header map[string]string) (status int, responseBody string, failure *result.Error, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entryAddr+path, strings.NewReader(body))
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

// newPeerClient returns a client of the HTTP API that the daemons offer each other.
func newPeerClient() *peer.Client { return peer.NewClient(http.DefaultClient, peer.Keys{fleetKey}) }

// hasUsableTargets reports whether an entry has exactly n usable targets.
func (f *fleet) hasUsableTargets(entry *process, n int) bool {
	state, err := newPeerClient().State(context.Background(), entry.addr)
	return err == nil && state.UsableTargets == n
}
