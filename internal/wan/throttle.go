package wan

import (
	"context"
	"net"
	"time"

	"golang.org/x/time/rate"
)

// throttleBytes is the size of the largest read from a throttled connection.
const throttleBytes = 16 << 10

// ThrottledDialer returns a dial function whose connections share one bandwidth for
// the data that they receive. Unlike on a Network, data of a connection that is closed
// before it was read uses no bandwidth.
func ThrottledDialer(bitsPerSecond float64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	const bitsPerByte = 8
	limiter := rate.NewLimiter(rate.Limit(bitsPerSecond/bitsPerByte), throttleBytes)
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &throttledConn{Conn: conn, limiter: limiter}, nil
	}
}

type throttledConn struct {
	net.Conn
	limiter *rate.Limiter
}

// Read implements net.Conn.
func (c *throttledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), throttleBytes)])
	if n > 0 {
		time.Sleep(c.limiter.ReserveN(time.Now(), n).Delay())
	}
	return n, err
}
