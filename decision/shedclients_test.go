package decision

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a crowd of few clients whose connections displace those of ordinary ones, and
// against the choice of connections that make progress.
func TestShedClients(t *testing.T) {
	Convey("Given a client with many stalled bodies and ordinary clients", t, func() {
		conns := []ClientConn{
			{Client: "ordinary", Held: 64 << 10, Moved: 0, Age: time.Second},
			{Client: "crowd", Held: 1 << 20, Moved: 1 << 20, Age: time.Second},
			{Client: "crowd", Held: 1 << 20, Age: time.Second},
			{Client: "crowd", Held: 2 << 20, Age: time.Second},
			{Client: "crowd", Held: 4 << 20, Age: time.Second, Running: true},
		}
		Convey("The stalled body that holds the most goes first", func() {
			So(ShedClients(conns, 10<<20, 1, 0), ShouldResemble, []int{3})
		})
		Convey("A body that makes progress goes after the stalled ones, running requests after them, ordinary clients after the crowd", func() {
			So(ShedClients(conns, 10<<20, 100<<20, 0), ShouldResemble, []int{3, 2, 1, 4, 0})
		})
		Convey("A number of connections is freed", func() {
			So(ShedClients(conns, 10<<20, 0, 2), ShouldResemble, []int{3, 2})
		})
	})
	Convey("Bodies that arrived fast and then stalled go before quiet streams, feed watches and idle connections of the same client", t, func() {
		var conns []ClientConn
		for range 8 {
			conns = append(conns, ClientConn{Client: "proxy", Held: 4 << 20, Moved: 4<<20 - 1, Age: 10 * time.Second, Idle: 10 * time.Second})
		}
		for range 100 {
			conns = append(conns, ClientConn{Client: "proxy", Held: 80 << 10, Moved: 4 << 10, Age: 20 * time.Second, Idle: 5 * time.Second, Running: true})
		}
		conns = append(conns, ClientConn{Client: "proxy", Held: 80 << 10, Moved: 64 << 10, Age: 3 * time.Hour, Idle: time.Minute, Running: true})
		for range 200 {
			conns = append(conns, ClientConn{Client: "proxy", Held: 12 << 10, Moved: 20 << 10, Age: time.Minute, Idle: 12 * time.Second})
		}
		for _, limit := range []int64{0, 42 << 20} {
			So(ShedClients(conns, limit, 32<<20, 0), ShouldResemble, []int{0, 1, 2, 3, 4, 5, 6, 7})
		}
	})
	Convey("Of connections that are alike the oldest goes first", t, func() {
		conns := []ClientConn{{Client: "a", Held: 1, Age: time.Second}, {Client: "a", Held: 1, Age: time.Minute}}
		So(ShedClients(conns, 1, 1, 0), ShouldResemble, []int{1})
	})
	Convey("Nothing is shed if nothing is needed", t, func() {
		So(ShedClients([]ClientConn{{Client: "a", Held: 1}}, 1, 0, 0), ShouldBeEmpty)
	})
}
