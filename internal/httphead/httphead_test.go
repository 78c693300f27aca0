package httphead

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/platformtest"
)

const (
	testFields = "X-Request-Id: r\r\n"
	testBody   = "hello"
)

// checkPieces checks a text that is received in pieces of the given size.
func checkPieces(text string, size int) (*Checker, error) {
	c := &Checker{}
	for len(text) > 0 {
		n := min(size, len(text))
		if err := c.Check([]byte(text[:n])); err != nil {
			return c, err
		}
		text = text[n:]
	}
	return c, nil
}

// wrongVerdicts returns the responses, received in pieces of several sizes, that are not valid
// or invalid as they should be.
func wrongVerdicts(responses []platformtest.Response, valid bool) []string {
	var wrong []string
	for _, r := range responses {
		for _, size := range []int{1, 2, 7, len(r.Text)} {
			c, err := checkPieces(r.Text, size)
			if c.Valid() != valid || errors.Is(err, ErrInvalid) == valid {
				wrong = append(wrong, r.Name)
			}
		}
	}
	return wrong
}

func TestInvalidStatusLines(t *testing.T) {
	convey.Convey("Heads with an invalid status line are not valid", t, func() {
		convey.So(wrongVerdicts(platformtest.InvalidStatusLines(testFields, testBody), false), convey.ShouldBeEmpty)
	})
}

func TestInvalidFields(t *testing.T) {
	convey.Convey("Heads with an invalid field line are not valid", t, func() {
		convey.So(wrongVerdicts(platformtest.InvalidFields(testFields, testBody), false), convey.ShouldBeEmpty)
	})
	convey.Convey("No byte but those of a token is valid in a name", t, func() {
		const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		for b := range 256 {
			name := "X" + string([]byte{byte(b)}) + "Worker"
			// A colon ends the name, a line feed the line.
			want := strings.IndexByte(token, byte(b)) >= 0 || b == ':'
			text := "HTTP/1.1 200 OK\r\n" + name + ": w\r\n\r\n"
			c, _ := checkPieces(text, len(text))
			convey.So(c.Valid(), convey.ShouldEqual, want)
		}
	})
}

func TestValidHeads(t *testing.T) {
	convey.Convey("Unusual heads are valid", t, func() {
		convey.So(wrongVerdicts(platformtest.ValidResponses(testFields, testBody), true), convey.ShouldBeEmpty)
	})
	convey.Convey("All final status codes from 200 to 599 are valid", t, func() {
		for status := 0; status <= 999; status++ {
			text := "HTTP/1.1 " + string([]byte{'0' + byte(status/100), '0' + byte(status/10%10), '0' + byte(status%10)}) + " x\r\n\r\n"
			c, _ := checkPieces(text, len(text))
			convey.So(c.Valid(), convey.ShouldEqual, status >= 200 && status <= 599)
		}
	})
	convey.Convey("A head that has not ended is neither valid nor invalid", t, func() {
		const text = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + testFields + "\r\n"
		for n := range len(text) {
			c, err := checkPieces(text[:n], 5)
			convey.So(c.Valid(), convey.ShouldBeFalse)
			convey.So(err, convey.ShouldBeNil)
		}
	})
	convey.Convey("The body is not checked, and an invalid head stays invalid", t, func() {
		c, err := checkPieces("HTTP/1.1 200 OK\r\n\r\n HTTP/1.1 000\r\n\r\n", 3)
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Valid(), convey.ShouldBeTrue)
		c, _ = checkPieces("HTTP/1.1 000 OK\r\n", 3)
		convey.So(c.Check([]byte("HTTP/1.1 200 OK\r\n\r\n")), convey.ShouldNotBeNil)
		convey.So(c.Valid(), convey.ShouldBeFalse)
	})
}
