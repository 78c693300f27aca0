package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/result"
)

// Outcome is the result of one request from the caller's side. Unless stated
// otherwise, durations start at the scheduled arrival, so that they include the delay
// of a late sender.
type Outcome struct {
	Arrival *Arrival
	// Complete is true for a complete and correct response.
	Complete bool
	// Refused is true for an error with a result code with which the fleet reports that
	// the work was not run.
	Refused bool
	// Code is the result code of the error, 0 for none.
	Code result.Code
	// First is the time to the first token, or to the response of a plain call.
	First time.Duration
	// Latency is the time to the end of the request, whether or not it succeeded.
	Latency time.Duration
	// RefusalLatency is the time from sending the last refused try of the request to its
	// refusal.
	RefusalLatency time.Duration
	// SendLag is the time from the scheduled arrival to the sending.
	SendLag time.Duration
	// Gaps are the times between consecutive token events of the stream.
	Gaps []time.Duration
	// Tokens is the number of received output tokens.
	Tokens int
	Events []event
	// Retries is the number of retries after a refusal.
	Retries int
	// Failure describes why the request failed; it is empty if the whole response was an
	// error with a result code.
	Failure string
}

// event is the receipt of one event with output tokens by the caller; at is the time
// since the start of the run.
type event struct {
	at     time.Duration
	tokens int
}

// sender sends the requests of a run.
type sender struct {
	urls   []string
	client *http.Client
	start  time.Time
	// maxRetries is how often a refused request is retried without delay.
	maxRetries int
}

// send sends one request, retries it while it is refused, at most maxRetries times,
// and returns its outcome. id is the index of the request in the schedule.
func (s *sender) send(ctx context.Context, a *Arrival, id int) *Outcome {
	o := &Outcome{Arrival: a, SendLag: s.sinceArrival(a)}
	for attempt := 0; ; attempt++ {
		sentAt := time.Now()
		o.Refused, o.Code, o.Failure = false, 0, ""
		s.attempt(ctx, o, id)
		if o.Refused {
			o.RefusalLatency = time.Since(sentAt)
		}
		if !o.Refused || attempt >= s.maxRetries || ctx.Err() != nil {
			break
		}
		o.Retries++
	}
	o.Latency = s.sinceArrival(a)
	return o
}

func (s *sender) sinceArrival(a *Arrival) time.Duration { return time.Since(s.start) - a.At }

func (s *sender) attempt(ctx context.Context, o *Outcome, id int) {
	req, err := s.newRequest(ctx, o.Arrival, id)
	if err != nil {
		o.Failure = err.Error()
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		o.Failure = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode != http.StatusOK:
		readErrorResponse(o, resp)
	case o.Arrival.OutputTokens > 0:
		s.readStream(o, resp)
	default:
		_, err := io.Copy(io.Discard, resp.Body)
		o.First = s.sinceArrival(o.Arrival)
		o.Complete = err == nil
	}
}

func (s *sender) newRequest(ctx context.Context, a *Arrival, id int) (*http.Request, error) {
	url := s.urls[a.Entry%len(s.urls)]
	method := http.MethodPost
	var body []byte
	switch a.Class.Kind {
	case KindLookup:
		method = http.MethodGet
		url += "/s/" + a.Class.Service + "/status/" + strconv.Itoa(id)
	case KindNonIdempotent:
		url += "/s/" + a.Class.Service + "/orders"
		body = []byte(`{"order":` + strconv.Itoa(id) + `}`)
	default:
		url += "/v1/completions"
		var err error
		body, err = json.Marshal(map[string]any{"model": a.Class.Service, "prompt": a.Prompt, "stream": true, "max_tokens": maxOutputTokens})
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey(a.Workspace))
	req.Header.Set("Content-Type", "application/json")
	if a.Class.Kind == KindNonIdempotent {
		req.Header.Set(caller.HeaderIdempotencyKey, "order-"+strconv.Itoa(id))
	}
	return req, nil
}

// readErrorResponse records a response with a status other than 200. It counts as
// refused only if it is an error with a result code that reports that the work was not
// run.
func readErrorResponse(o *Outcome, resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.Failure = err.Error()
		return
	}
	e := result.Decode(data)
	if e == nil {
		o.Failure = resp.Status
		return
	}
	o.Code = e.Code
	o.Refused = e.Ran == result.RanNo
}

func (s *sender) readStream(o *Outcome, resp *http.Response) {
	var lastToken time.Time
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			o.Failure = err.Error()
			return
		}
		if ev.Type == "error" {
			if e := result.Decode([]byte(ev.Data)); e != nil {
				o.Code = e.Code
			}
			o.Failure = "the stream ended with an error"
			return
		}
		if ev.Data == "[DONE]" {
			o.Complete = o.Tokens == o.Arrival.OutputTokens
			if !o.Complete {
				o.Failure = "wrong number of tokens"
			}
			return
		}
		offset, err := strconv.Atoi(ev.LastEventID)
		if err != nil || offset < o.Tokens {
			continue
		}
		now := time.Now()
		if o.Tokens == 0 {
			o.First = s.sinceArrival(o.Arrival)
		} else {
			o.Gaps = append(o.Gaps, now.Sub(lastToken))
		}
		o.Events = append(o.Events, event{at: now.Sub(s.start), tokens: offset + 1 - o.Tokens})
		o.Tokens = offset + 1
		lastToken = now
	}
	o.Failure = "the stream ended without its end marker"
}
