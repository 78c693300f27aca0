package load

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// Guards against a part of an answer that counts as a complete one in the figures because the
// connection was reset while the request was being written (issue 53).
func TestAnswerThatIsBrokenOffDuringTheUpload(t *testing.T) {
	prompt := strings.Repeat("x", platformtest.EarlyUploadBytes)
	for _, a := range platformtest.EarlyAnswers("HTTP/1.1 200 OK\r\n", platformtest.EarlyPart) {
		convey.Convey("An answer that ends with its connection: "+a.Name, t, func() {
			l := platformtest.ListenEarly()
			defer func() { _ = l.Close() }()
			go platformtest.ServeEarly(l, a)
			client := newClient()
			defer client.CloseIdleConnections()
			s := &sender{urls: []string{"http://" + l.Addr().String()}, client: client, start: time.Now()}
			complete := 0
			const runs = 5
			for id := range runs {
				if s.send(context.Background(), &Arrival{Class: &Class{}, Prompt: prompt}, id).Complete {
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
