// Package httphead checks the heads of responses against HTTP/1.1 (RFC 9110, RFC 9112) while
// they are received. The parser of net/http accepts heads that are not valid, and what such a
// head states can't be relied on: neither its status nor where its body ends.
package httphead

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the cause of the errors for heads that are not valid by HTTP/1.1.
var ErrInvalid = errors.New("response head is not valid by HTTP/1.1")

// Checker checks the head of a final response and the heads of the informational responses
// before it. The zero value is ready to use. A Checker buffers one line at most and has no size
// limit of its own: the reader of the response limits the length of the head.
type Checker struct {
	// line is the beginning of a line whose end has not been received.
	line  []byte
	head  headState
	valid bool
	// endsWithConn is set if the body of the final response ends with its connection.
	endsWithConn bool
	err          error
}

// headState is what was received of one head.
type headState struct {
	// status is 0 before the status line has ended.
	status int
	// isHTTP10 is set for version HTTP/1.0.
	isHTTP10 bool
	// hasCoding and hasLength are set if the head has a Transfer-Encoding or a Content-Length.
	hasCoding, hasLength bool
}

// Check checks the next bytes of a response. It ignores those after the head. It returns an
// error if the head is not valid, then for all further bytes too.
func (c *Checker) Check(p []byte) error {
	for c.err == nil && !c.valid && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if !ended {
			c.line = append(c.line, line...)
			return nil
		}
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = nil
		}
		c.err = c.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		p = rest
	}
	return c.err
}

// Valid reports whether the whole head was received and is valid.
func (c *Checker) Valid() bool { return c.valid }

// EndsWithConnection reports whether the whole head was received, and states neither a length nor
// chunks for the body, which therefore ends with its connection.
func (c *Checker) EndsWithConnection() bool { return c.endsWithConn }

func (c *Checker) checkLine(line []byte) error {
	switch {
	case c.head.status == 0:
		return c.head.checkStatusLine(line)
	case len(line) > 0:
		return c.head.checkField(line)
	}
	if err := c.head.checkFraming(); err != nil {
		return err
	}
	// Another head follows that of an informational response.
	c.valid = c.head.status >= http.StatusOK
	c.endsWithConn = c.valid && !c.head.hasCoding && !c.head.hasLength
	c.head = headState{}
	return nil
}

// CheckParsed checks the status code and the fields of the final response in a message of
// another format.
func CheckParsed(status int, fields map[string]string) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status code %d", status)
	}
	for name, value := range fields {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return errors.Wrapf(ErrInvalid, "field %.40q: %.40q", name, value)
		}
	}
	return nil
}

// Parts of a status line: a version of HTTP/1, a space and a status code, then a space and the
// reason phrase. Widespread servers omit the second space if the phrase is empty.
const (
	versionPrefix = "HTTP/1."
	statusStart   = len(versionPrefix) + 2
	statusEnd     = statusStart + 3
)

// maxStatus is the largest valid status code (RFC 9110, section 15).
const maxStatus = 599

func (h *headState) checkStatusLine(line []byte) error {
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte(versionPrefix)) ||
		!isDigit(line[len(versionPrefix)]) || line[statusStart-1] != ' ' || len(line) > statusEnd && line[statusEnd] != ' ' {
		return errors.Wrapf(ErrInvalid, "status line %.40q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(line[statusEnd:])) {
		return errors.Wrapf(ErrInvalid, "reason phrase %.40q", line[statusEnd:])
	}
	// Unlike Atoi, ParseUint accepts no sign.
	status, err := strconv.ParseUint(string(line[statusStart:statusEnd]), 10, 0)
	if err != nil || status < http.StatusContinue || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status code %q", line[statusStart:statusEnd])
	}
	if status == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrInvalid, "status code 101 without a request to switch protocols")
	}
	h.status = int(status)
	h.isHTTP10 = line[len(versionPrefix)] == '0'
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// checkField checks a field line. A folded line (obs-fold) is not valid either: its
// continuation has a space where a name starts.
func (h *headState) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Wrapf(ErrInvalid, "name of field line %.40q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Wrapf(ErrInvalid, "value of field line %.40q", line)
	}
	h.hasCoding = h.hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
	return nil
}

// checkFraming checks that the head states in one way where the body ends (RFC 9112, section
// 6.1). The values of the fields are left to net/http.
func (h *headState) checkFraming() error {
	switch {
	case h.hasCoding && h.isHTTP10:
		return errors.Wrap(ErrInvalid, "transfer coding in HTTP/1.0")
	case h.hasCoding && h.hasLength:
		return errors.Wrap(ErrInvalid, "both a transfer coding and a length")
	}
	return nil
}
