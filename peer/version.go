package peer

import (
	"net"
	"net/http"
	"strconv"
)

// Headers that every message between processes carries, in both directions.
const (
	// HeaderConfigVersion is the configuration version in force at the sender.
	HeaderConfigVersion = "Quetzalglade-Config-Version"
	// HeaderPeer is the address at which the sender of a request answers.
	HeaderPeer = "Quetzalglade-Peer"
)

// Versions is the part of a process that keeps its configuration. Both methods
// may be called from any goroutine and do not block.
type Versions interface {
	// Version returns the version in force here, 0 before the first.
	Version() int64
	// Saw reports the version that the process at addr has in force.
	Saw(version int64, addr string)
}

// Announce makes the client show the version in force here and the address of
// this process, and report the versions that others show. It is called before
// the client's first use.
func (c *Client) Announce(v Versions, self string) {
	c.versions = v
	c.self = self
}

func (c *Client) announce(r *http.Request) {
	if c.versions == nil {
		return
	}
	r.Header.Set(HeaderConfigVersion, strconv.FormatInt(c.versions.Version(), 10))
	r.Header.Set(HeaderPeer, c.self)
}

func (c *Client) observe(addr string, h http.Header) {
	if c.versions != nil {
		saw(c.versions, h, addr)
	}
}

// Exchange wraps the handler of messages so that the version in force is shown
// to the sender and the sender's is noticed.
func Exchange(v Versions, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderConfigVersion, strconv.FormatInt(v.Version(), 10))
		saw(v, r.Header, senderAddr(r))
		next.ServeHTTP(w, r)
	})
}

func saw(v Versions, h http.Header, addr string) {
	version, err := strconv.ParseInt(h.Get(HeaderConfigVersion), 10, 64)
	if err == nil && version > v.Version() && addr != "" {
		v.Saw(version, addr)
	}
}

// senderAddr returns the address at which the sender answers. A sender that
// listens on all addresses is reached at the one that it sent from.
func senderAddr(r *http.Request) string {
	host, port, err := net.SplitHostPort(r.Header.Get(HeaderPeer))
	if err != nil {
		return ""
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsUnspecified() {
		return net.JoinHostPort(host, port)
	}
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(from, port)
}
