package platformtest

import (
	"strconv"
	"strings"
)

// Response is the text of an HTTP response with a name for tests.
type Response struct{ Name, Text string }

// InvalidStatusLines returns responses to a request for a body whose status line is not
// valid by HTTP/1.1. All have the given fields, each terminated by CRLF, and a length.
func InvalidStatusLines(fields, body string) []Response {
	rest := fields + contentLength(body) + "\r\n" + body
	sound := "HTTP/1.1 200 OK\r\n" + rest
	return []Response{
		{"status 000", "HTTP/1.1 000 OK\r\n" + rest},
		{"status 000 before another response", "HTTP/1.1 000 OK\r\n\r\n" + sound},
		{"status 000 whose body is another response", "HTTP/1.1 000 OK\r\n" + contentLength(sound) + "\r\n" + sound},
		{"status 099", "HTTP/1.1 099 OK\r\n" + rest},
		{"status 099 before another response", "HTTP/1.1 099 OK\r\n\r\n" + sound},
		{"status 600", "HTTP/1.1 600 OK\r\n" + rest},
		{"status 999", "HTTP/1.1 999 OK\r\n" + rest},
		{"status +20", "HTTP/1.1 +20 OK\r\n" + rest},
		{"status -00 before another response", "HTTP/1.1 -00 OK\r\n\r\n" + sound},
		{"status 20", "HTTP/1.1 20 OK\r\n" + rest},
		{"status 2000", "HTTP/1.1 2000 OK\r\n" + rest},
		{"status 20x", "HTTP/1.1 20x OK\r\n" + rest},
		{"status 101 without a request for it", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" + rest},
		{"an invalid informational status line", "HTTP/1.1 103 Early\x01Hints\r\n\r\n" + sound},
		{"two spaces before the status", "HTTP/1.1  200 OK\r\n" + rest},
		{"a tab before the reason phrase", "HTTP/1.1 200\tOK\r\n" + rest},
		{"a control character in the reason phrase", "HTTP/1.1 200 O\x01K\r\n" + rest},
		{"a carriage return in the reason phrase", "HTTP/1.1 200 O\rK\r\n" + rest},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + rest},
		{"version 0.9", "HTTP/0.9 200 OK\r\n" + rest},
		{"a version in lower case", "http/1.1 200 OK\r\n" + rest},
		{"no version", "200 OK\r\n" + rest},
	}
}

// InvalidFields returns responses to a request for a body that have a field line which is
// not valid by HTTP/1.1. All have the given fields, each terminated by CRLF, too.
func InvalidFields(fields, body string) []Response {
	const status = "HTTP/1.1 200 OK\r\n"
	length, end := contentLength(body), "\r\n"+body
	chunks := "\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	invalid := []Response{
		{"a space before the colon of Content-Length", status + fields + "Content-Length : " + strconv.Itoa(len(body)) + "\r\n" + end + "of another response"},
		{"a space before the colon of Transfer-Encoding", status + fields + "Transfer-Encoding : chunked\r\n" + chunks},
		{"a space before the name of Transfer-Encoding", status + fields + " Transfer-Encoding: chunked\r\n" + chunks},
		{"a folded line as the first field", status + " folded\r\n" + fields + length + end},
		{"an invalid field of an informational response", "HTTP/1.1 103 Early Hints\r\nX Worker: w\r\n\r\n" + status + fields + length + end},
	}
	for _, line := range []Response{
		{"a space in a name", "X Worker: w"},
		{"a space before a colon", "X-Worker : w"},
		{"a space before a name", " X-Worker: w"},
		{"a name of one space", " : w"},
		{"a tab in a name", "X\tWorker: w"},
		{"a tab before a colon", "X-Worker\t: w"},
		{"a tab before a name", "\tX-Worker: w"},
		{"a NUL in a name", "X\x00Worker: w"},
		{"a control character in a name", "X\x01Worker: w"},
		{"a control character before a name", "\x01X-Worker: w"},
		{"a carriage return in a name", "X\rWorker: w"},
		{"a DEL in a name", "X\x7fWorker: w"},
		{"a byte beyond ASCII in a name", "X\xe9Worker: w"},
		{"a parenthesis in a name", "X(Worker): w"},
		{"an empty name", ": w"},
		{"no colon", "X-Worker"},
		{"a folded value", "X-Worker: w\r\n w"},
		{"a NUL in a value", "X-Worker: w\x00"},
		{"a control character in a value", "X-Worker: w\x01"},
		{"a carriage return in a value", "X-Worker: w\rw"},
		{"a DEL in a value", "X-Worker: w\x7f"},
	} {
		invalid = append(invalid, Response{line.Name, status + fields + line.Text + "\r\n" + length + end})
	}
	return invalid
}

// InvalidFraming returns responses to a request for a body whose heads contradict
// themselves about the end of the body. All have the given fields, each terminated by CRLF.
func InvalidFraming(fields, body string) []Response {
	const status, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	chunks := "\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	return []Response{
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + chunked + chunks},
		{"a length and chunks", status + fields + contentLength(body) + chunked + chunks},
		{"chunks and a length", status + fields + chunked + contentLength(body) + chunks},
		{"chunks twice", status + fields + chunked + chunked + chunks},
		{"an unknown transfer coding", status + fields + "Transfer-Encoding: zip\r\n" + chunks},
		{"two lengths", status + fields + contentLength(body) + contentLength(body+"x") + "\r\n" + body},
		{"a negative length", status + fields + "Content-Length: -1\r\n\r\n" + body},
		{"a length with a sign", status + fields + "Content-Length: +" + strconv.Itoa(len(body)) + "\r\n\r\n" + body},
		{"a length without a number", status + fields + "Content-Length:\r\n\r\n" + body},
	}
}

// ValidResponses returns responses to a request for a body that a parser may take for
// invalid ones. All have the given fields, each terminated by CRLF.
func ValidResponses(fields, body string) []Response {
	const status = "HTTP/1.1 200 OK\r\n"
	length, end := contentLength(body), "\r\n"+body
	return []Response{
		{"an ordinary head", status + fields + length + end},
		{"an empty reason phrase", "HTTP/1.1 200 \r\n" + fields + length + end},
		{"no reason phrase", "HTTP/1.1 200\r\n" + fields + length + end},
		{"a reason phrase beyond ASCII", "HTTP/1.1 200 \xc3\xa7a va\r\n" + fields + length + end},
		{"version 1.0", "HTTP/1.0 200 OK\r\n" + fields + length + end},
		{"status 299", "HTTP/1.1 299 Other\r\n" + fields + length + end},
		{"informational responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + fields + length + end},
		{"line feeds alone", strings.ReplaceAll(status+fields+length+"\r\n", "\r\n", "\n") + body},
		{"each byte of a token in a name", status + fields + "!#$%&'*+-.^_`|~09azAZ: w\r\n" + length + end},
		{"no space before a value", status + fields + "X-Worker:w\r\n" + length + end},
		{"an empty value", status + fields + "X-Worker:\r\n" + length + end},
		{"a tab and a byte beyond ASCII in a value", status + fields + "X-Worker: \tw\t\xe9 \r\n" + length + end},
		{"a colon and a head in a value", status + fields + "X-Worker: HTTP/1.1 000 : X Y: z\r\n" + length + end},
		{"the same length twice", status + fields + length + length + end},
		{"chunks", status + fields + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"},
	}
}

func contentLength(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }
