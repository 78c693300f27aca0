package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/result"
)

// replyServer starts an agent that answers calls with the reply, and queries for outcomes with
// it as that of a call that has ended.
func replyServer(t *testing.T, reply *Reply) (addr string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(PathCalls, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(reply) })
	mux.HandleFunc(PathOutcome, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Outcome{ID: reply.ID, State: CallEnded, Reply: reply})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against an agent of an earlier build that replies with the status or the fields of an
// invalid response of its service.
func TestInvalidReplies(t *testing.T) {
	client := NewClient(httpclient.New(httpclient.Options{}), Keys{"k"})
	check := func(reply Reply, valid bool) {
		reply.ID = "c"
		addr := replyServer(t, &reply)
		_, callErr := client.Call(context.Background(), addr, &Call{ID: "c"})
		_, outcomeErr := client.Outcome(context.Background(), addr, OutcomeQuery{ID: "c"})
		convey.So(callErr == nil, convey.ShouldEqual, valid)
		convey.So(outcomeErr == nil, convey.ShouldEqual, valid)
	}
	convey.Convey("A reply that could not be written as a response is an error", t, func() {
		for _, status := range []int{-1, 0, 20, 99, 100, 101, 199, 600, 999, 1000} {
			check(Reply{Status: status}, false)
		}
		for _, name := range []string{"", " ", "X Worker", "X-Worker ", " X-Worker", "X\tWorker", "X\x01Worker", "X:Worker", "X\r\nWorker"} {
			check(Reply{Status: http.StatusOK, Header: map[string]string{name: "w"}}, false)
		}
		for _, value := range []string{"\x00", "a\rb", "a\nb", "a\x7f"} {
			check(Reply{Status: http.StatusOK, Header: map[string]string{"X-Worker": value}}, false)
		}
	})
	convey.Convey("Other replies are none", t, func() {
		for _, status := range []int{200, 204, 304, 404, 503, 599} {
			check(Reply{Status: status, Header: map[string]string{"Content-Type": "text/plain; charset=\tutf-8"}}, true)
		}
		check(Reply{Error: result.New(result.OutcomeUnknown, result.RanUnknown, "x")}, true)
	})
}
