package decision

import (
	"cmp"
	"slices"
	"time"
)

// ClientConn is what a process holds for one connection of a client.
type ClientConn struct {
	// Client identifies the client, for example by its address.
	Client string
	// Held is the number of bytes that the process holds for the connection.
	Held int64
	// Moved is the number of bytes that the client has sent or read in the last Age.
	Moved int64
	Age   time.Duration
	// Idle is the time since the client last sent or read anything.
	Idle time.Duration
	// Running is set while the process works on a complete request of the connection and the
	// client reads what is sent, so that the client owes no progress.
	Running bool
}

// progress returns the bytes moved per second and per byte held. Of a connection on which
// nothing moves, the rate falls with the time since then: a body that arrived fast and then
// stalled must not count as fast for as long as it is held.
func (c *ClientConn) progress() float64 {
	rate := float64(c.Moved) / max(c.Age.Seconds(), minShedAge)
	recent := recentBytes / max(c.Idle.Seconds(), minShedAge)
	return min(rate, recent) / float64(max(c.Held, 1))
}

// recentBytes is the size of one read, which may have arrived just before a connection fell
// silent.
const recentBytes = 4096

// minShedAge is the age in seconds below which a connection's progress is not extrapolated.
const minShedAge = 0.05

// ordinaryShare is the part of its equal share of the memory up to which a client keeps its
// connections while another client holds more than that.
const ordinaryShare = 0.5

// ShedClients returns the indexes of the connections to close so that at least bytes bytes and
// count connections become free. A client's connections are considered together: one that
// holds at most ordinaryShare of limit divided by the number of clients is passed over as long
// as others hold more. Of the rest, the connections with the least progress per byte held go
// first, then those that hold more, then the older ones. A client's running connections go
// after its others.
func ShedClients(conns []ClientConn, limit, bytes int64, count int) []int {
	held := map[string]int64{}
	for i := range conns {
		held[conns[i].Client] += conns[i].Held
	}
	share := int64(ordinaryShare * float64(limit) / float64(max(len(held), 1)))
	order := make([]int, len(conns))
	for i := range order {
		order[i] = i
	}
	rank := func(c *ClientConn) int {
		r := 0
		if held[c.Client] <= share {
			r = 2
		}
		if c.Running {
			r++
		}
		return r
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := &conns[i], &conns[j]
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.progress(), b.progress()), cmp.Compare(b.Held, a.Held), cmp.Compare(b.Age, a.Age))
	})
	var victims []int
	for _, i := range order {
		if bytes <= 0 && len(victims) >= count {
			break
		}
		victims = append(victims, i)
		bytes -= conns[i].Held
	}
	return victims
}
