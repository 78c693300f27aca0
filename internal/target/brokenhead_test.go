package target

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// Fields and bodies of the responses that the targets send.
const (
	// The server closes the connection after the response. A client that is not told so may
	// send the next request on it.
	headFields = "Content-Type: text/plain\r\nConnection: close\r\n"
	callBody   = "hello"
	modelsBody = `{"data":[{"id":"m1"}]}`
	loadBody   = "# TYPE engine_requests_running gauge\nengine_requests_running 1\n"
	streamBody = "id: 0\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"
)

// exchange is a kind of request to a target, and the body of its response.
type exchange struct {
	name, body string
	do         func(url string) error
}

func exchanges() []exchange {
	ctx := context.Background()
	client := httpclient.New(httpclient.Options{IdlePerHost: 1})
	noChunk := func(Chunk) error { return nil }
	return []exchange{
		{"call", callBody, func(url string) error {
			reply, err := NewPlain(url, client).Do(ctx, PlainCall{Method: http.MethodPost, Path: "/"})
			if err == nil && string(reply.Body) != callBody {
				return errors.Newf("body %q", reply.Body)
			}
			return err
		}},
		{"start", streamBody, func(url string) error { return NewEngine(url, client).Start(ctx, Completion{ID: "c"}, noChunk) }},
		{"resume", streamBody, func(url string) error { return NewEngine(url, client).Resume(ctx, "c", 0, noChunk) }},
		{"cancel", callBody, func(url string) error { return NewEngine(url, client).Cancel(ctx, "c") }},
		{"load", loadBody, func(url string) error {
			report, err := NewEngine(url, client).Load(ctx)
			if err == nil && report.Running != 1 {
				return errors.Newf("report %+v", report)
			}
			return err
		}},
		{"models", modelsBody, func(url string) error {
			models, err := NewEngine(url, client).Models(ctx)
			if err == nil && len(models) != 1 {
				return errors.Newf("models %v", models)
			}
			return err
		}},
	}
}

// testInvalidHeads checks that an invalid response is an error, and no statement of the
// target about the request.
func testInvalidHeads(t *testing.T, invalid func(fields, body string) []platformtest.Response) {
	for _, e := range exchanges() {
		convey.Convey("An invalid response to a "+e.name+" is an error", t, func() {
			var text atomic.Value
			url := serveText(t, &text)
			var accepted []string
			for _, r := range invalid(headFields, e.body) {
				text.Store(r.Text)
				err := e.do(url)
				var refused *RefusedError
				if err == nil || errors.As(err, &refused) || errors.Is(err, ErrUnknownCompletion) {
					accepted = append(accepted, r.Name)
				}
			}
			convey.So(accepted, convey.ShouldBeEmpty)
		})
	}
}

// Guards against a response with an invalid status such as 000 that is taken for an answer.
func TestInvalidStatusLinesAreErrors(t *testing.T) {
	testInvalidHeads(t, platformtest.InvalidStatusLines)
}

// Guards against a response with an invalid field line that is taken for an answer, or whose
// body is read with the wrong framing.
func TestInvalidFieldsAreErrors(t *testing.T) { testInvalidHeads(t, platformtest.InvalidFields) }

// Guards against the framing of chunks that is taken for a part of the body.
func TestInvalidFramingIsAnError(t *testing.T) { testInvalidHeads(t, platformtest.InvalidFraming) }

// Guards against the rejection of valid but unusual heads.
func TestUnusualHeadsAreAnswers(t *testing.T) {
	for _, e := range exchanges() {
		convey.Convey("A valid response to a "+e.name, t, func() {
			var text atomic.Value
			url := serveText(t, &text)
			var lost []string
			for _, r := range platformtest.ValidResponses(headFields, e.body) {
				// The other requests expect status 200.
				if e.name != "call" && strings.Contains(r.Text, " 299 ") {
					continue
				}
				text.Store(r.Text)
				if err := e.do(url); err != nil {
					lost = append(lost, r.Name+": "+err.Error())
				}
			}
			convey.So(lost, convey.ShouldBeEmpty)
		})
	}
}
