package peer

import (
	"net"
	"net/http"
	"strconv"
)

// Headers of the messages between processes.
const (
	// HeaderConfigVersion carries the configuration version in force at the sender of
	// a request or response.
	HeaderConfigVersion = "Quetzalglade-Config-Version"
	// HeaderPeer carries the address at which the sender of a request serves peers.
	HeaderPeer = "Quetzalglade-Peer"
)

// VersionTracker tracks the configuration versions of this process and its peers. Both
// methods may be called from any goroutine and do not block.
type VersionTracker interface {
	// Version returns the configuration version in force in this process, 0 before
	// the first one.
	Version() int64
	// ReportVersion reports which configuration version is in force in the process
	// at addr.
	ReportVersion(version int64, addr string)
}

// EnableVersionExchange makes the client send the configuration version in force in
// this process and selfAddr, the address at which this process serves peers, with
// every request, and report higher versions of peers to v. It must be called
// before the client's first use.
func (c *Client) EnableVersionExchange(v VersionTracker, selfAddr string) {
	c.versions = v
	c.selfAddr = selfAddr
}

// addVersionHeaders sets the version headers of a request after a call of
// EnableVersionExchange.
func (c *Client) addVersionHeaders(r *http.Request) {
	if c.versions == nil {
		return
	}
	r.Header.Set(HeaderConfigVersion, strconv.FormatInt(c.versions.Version(), 10))
	r.Header.Set(HeaderPeer, c.selfAddr)
}

// reportPeerVersion reports the version in the header of a response from addr.
func (c *Client) reportPeerVersion(addr string, h http.Header) {
	if c.versions != nil {
		reportHigherVersion(c.versions, h, addr)
	}
}

// WithVersionExchange wraps a handler of peer messages. It adds the configuration
// version in force in this process to every response and reports a higher version
// of the sender to v.
func WithVersionExchange(v VersionTracker, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderConfigVersion, strconv.FormatInt(v.Version(), 10))
		reportHigherVersion(v, r.Header, senderAddr(r))
		next.ServeHTTP(w, r)
	})
}

// reportHigherVersion reports the configuration version in the header of a message
// from addr to v if it is higher than the one in force in this process.
func reportHigherVersion(v VersionTracker, h http.Header, addr string) {
	version, err := strconv.ParseInt(h.Get(HeaderConfigVersion), 10, 64)
	if err == nil && version > v.Version() && addr != "" {
		v.ReportVersion(version, addr)
	}
}

// senderAddr returns the address at which the sender of a request serves peers,
// or "" if it is unknown. If the sender listens on all addresses, senderAddr
// uses the remote address of the connection.
func senderAddr(r *http.Request) string {
	host, port, err := net.SplitHostPort(r.Header.Get(HeaderPeer))
	if err != nil {
		return ""
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsUnspecified() {
		return net.JoinHostPort(host, port)
	}
	remoteHost, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(remoteHost, port)
}
