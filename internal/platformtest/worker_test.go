package platformtest_test

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

// Guards against another process that accepts connections at the address of a crashed worker:
// a gateway takes the worker for a running one.
func TestCrashedWorkerKeepsItsPort(t *testing.T) {
	for name, listener := range map[string]net.Listener{"ordinary": platformtest.NewListener(), "early": platformtest.ListenEarly()} {
		convey.Convey("The port of a crashed worker accepts nothing and goes to nobody until the worker is closed, listener: "+name, t, func() {
			w := platformtest.NewWorkerSet().StartAt("i-a", listener)
			defer w.Close()
			w.CrashOn("poison")
			req, err := http.NewRequest(http.MethodPost, "http://"+w.Addr()+"/book/1", strings.NewReader("poison"))
			convey.So(err, convey.ShouldBeNil)
			req.Header.Set("X-Expect-Instance", w.ID)
			_, err = http.DefaultTransport.RoundTrip(req)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(w.Runs(), convey.ShouldHaveLength, 1)
			_, err = net.Dial("tcp", w.Addr())
			convey.So(errors.Is(err, syscall.ECONNREFUSED), convey.ShouldBeTrue)
			_, err = net.Listen("tcp", w.Addr())
			convey.So(errors.Is(err, syscall.EADDRINUSE), convey.ShouldBeTrue)
		})
	}
}
