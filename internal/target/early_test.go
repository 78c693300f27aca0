package target

import (
	"context"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// Guards against a part of a service's answer that an agent passes on as the reply because the
// service reset the connection while the call was still being written (issue 53).
func TestReplyThatIsBrokenOffDuringTheCall(t *testing.T) {
	call := PlainCall{Method: http.MethodPost, Path: "/", Body: make([]byte, platformtest.EarlyUploadBytes)}
	for _, a := range platformtest.EarlyAnswers("HTTP/1.1 200 OK\r\n", platformtest.EarlyPart) {
		convey.Convey("An answer that ends with its connection: "+a.Name, t, func() {
			l := platformtest.ListenEarly()
			defer func() { _ = l.Close() }()
			go platformtest.ServeEarly(l, a)
			client := httpclient.New(httpclient.Options{})
			defer client.CloseIdleConnections()
			plain := NewPlain("http://"+l.Addr().String(), client)
			complete := 0
			const runs = 5
			for range runs {
				reply, err := plain.Do(context.Background(), call)
				if err == nil && string(reply.Body) == platformtest.EarlyPart {
					complete++
				}
			}
			want := 0
			if a.Whole {
				want = runs
			}
			convey.So(complete, convey.ShouldEqual, want)
		})
	}
}
