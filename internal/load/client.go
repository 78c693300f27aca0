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

// Outcome is what the caller of one request saw. Durations are counted from
// the intended arrival, so that a late sender hides nothing.
type Outcome struct {
	Arrival *Arrival
	// Complete is set for a whole and correct answer.
	Complete bool
	// Refused is set for a refusal that says the work was not run.
	Refused bool
	// Code is the numbered error, 0 for none.
	Code result.Code
	// First is the time of the first token, or of the answer of a plain call.
	First time.Duration
	// End is the time of the end, of whatever kind.
	End time.Duration
	// RefusalTook is the time of one refusal from its sending.
	RefusalTook time.Duration
	// SendLag is the time from the intended arrival to the sending.
	SendLag time.Duration
	Gaps    []time.Duration
	Tokens  int
	Events  []event
	// Retries counts repeats after a refusal.
	Retries int
	// Fault describes a failure without a numbered error.
	Fault string
}

// event is the arrival of tokens at the caller, since the start of the run.
type event struct {
	at     time.Duration
	tokens int
}

// sender sends the requests of a run.
type sender struct {
	urls   []string
	client *http.Client
	start  time.Time
	// retries is how often a refused request is repeated at once.
	retries int
}

// send makes one request and follows it to its end.
func (s *sender) send(ctx context.Context, a *Arrival, id int) *Outcome {
	o := &Outcome{Arrival: a, SendLag: s.since(a)}
	for try := 0; ; try++ {
		sent := time.Now()
		o.Refused, o.Code, o.Fault = false, 0, ""
		s.attempt(ctx, o, id)
		if o.Refused {
			o.RefusalTook = time.Since(sent)
		}
		if !o.Refused || try >= s.retries || ctx.Err() != nil {
			break
		}
		o.Retries++
	}
	o.End = s.since(a)
	return o
}

func (s *sender) since(a *Arrival) time.Duration { return time.Since(s.start) - a.At }

func (s *sender) attempt(ctx context.Context, o *Outcome, id int) {
	req, err := s.request(ctx, o.Arrival, id)
	if err != nil {
		o.Fault = err.Error()
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		o.Fault = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(o, resp)
	case o.Arrival.Length > 0:
		s.readStream(o, resp)
	default:
		_, err := io.Copy(io.Discard, resp.Body)
		o.First = s.since(o.Arrival)
		o.Complete = err == nil
	}
}

func (s *sender) request(ctx context.Context, a *Arrival, id int) (*http.Request, error) {
	url := s.urls[a.Entry%len(s.urls)]
	method := http.MethodPost
	var body []byte
	switch a.Class.Kind {
	case KindLookup:
		method = http.MethodGet
		url += "/s/" + a.Class.Service + "/status/" + strconv.Itoa(id)
	case KindOnce:
		url += "/s/" + a.Class.Service + "/orders"
		body = []byte(`{"order":` + strconv.Itoa(id) + `}`)
	default:
		url += "/v1/completions"
		var err error
		body, err = json.Marshal(map[string]any{"model": a.Class.Service, "prompt": a.Prompt, "stream": true, "max_tokens": maxOutput})
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
	if a.Class.Kind == KindOnce {
		req.Header.Set(caller.HeaderIdempotencyKey, "order-"+strconv.Itoa(id))
	}
	return req, nil
}

func readRefusal(o *Outcome, resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.Fault = err.Error()
		return
	}
	e := result.Decode(data)
	if e == nil {
		o.Fault = resp.Status
		return
	}
	o.Code = e.Code
	o.Refused = e.Ran == result.RanNo
}

func (s *sender) readStream(o *Outcome, resp *http.Response) {
	var last time.Time
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			o.Fault = err.Error()
			return
		}
		if ev.Type == "error" {
			if e := result.Decode([]byte(ev.Data)); e != nil {
				o.Code = e.Code
			}
			o.Fault = "the stream ended with an error"
			return
		}
		if ev.Data == "[DONE]" {
			o.Complete = o.Tokens == o.Arrival.Length
			if !o.Complete {
				o.Fault = "wrong number of tokens"
			}
			return
		}
		offset, err := strconv.Atoi(ev.LastEventID)
		if err != nil || offset < o.Tokens {
			continue
		}
		now := time.Now()
		if o.Tokens == 0 {
			o.First = s.since(o.Arrival)
		} else {
			o.Gaps = append(o.Gaps, now.Sub(last))
		}
		o.Events = append(o.Events, event{at: now.Sub(s.start), tokens: offset + 1 - o.Tokens})
		o.Tokens = offset + 1
		last = now
	}
	o.Fault = "the stream ended without its end marker"
}
