package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
// Content-Length and Host are set anew for each message.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// endToEndHeaders returns a copy of a header without the fields that apply to a
// single connection.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyResponseHeader copies the end-to-end headers of a target's response to
// the response for the client. It keeps net/http from adding Content-Type and
// Date where the target sent none.
func copyResponseHeader(w http.ResponseWriter, resp *http.Response) {
	out := w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
}
