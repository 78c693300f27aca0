package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// result is what a client has seen of a stream.
type result struct {
	status   int
	events   int
	complete bool
	err      error
}

// stream sends a streaming request and reads its events to the end.
func (f *fleet) stream(id, route string, prompt, output int) result {
	body := strings.NewReader("a prompt of " + id)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.front+"/"+route+"/x", body)
	if err != nil {
		return result{err: err}
	}
	req.Host = "lab.example"
	deadline := "39000"
	if route == "short" {
		deadline = "6000"
	}
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Key": "key-1", "X-Model-Name": "m", "X-Token-Count": fmt.Sprintf("%d,%d", prompt, output),
		"X-Prompt-Prefix": fmt.Sprintf("aa%s:%d", id, prompt), "X-Length-Hint": fmt.Sprint(output), "X-Deadline-Ms": deadline,
	} {
		req.Header.Set(name, value)
	}
	f.record.add("client sends %s on %s, %d tokens in, %d out", id, route, prompt, output)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 40 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		f.record.add("client gets no answer to %s: %v", id, err)
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	out := result{status: resp.StatusCode}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			out.events++
		}
		if err != nil {
			out.complete = err == io.EOF
			if !out.complete {
				out.err = err
			}
			break
		}
	}
	f.record.add("client gets %d for %s, %d events, whole: %v, Retry-After %q", out.status, id, out.events, out.complete, resp.Header.Get("Retry-After"))
	return out
}
