package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/quetzalglade/quetzalglade/result"
)

// FuzzParseCompletion guards against malformed bodies that cause a panic, are
// accepted, or are refused without the statement that nothing ran.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"guide","prompt":"text","max_tokens":5,"seed":1,"stream":true}`,
		`{"model":"guide","messages":[{"role":"user","content":"text"}]}`,
		`{"model":"","prompt":""}`, `{"max_tokens":-1}`, `{"prompt":[1,2]}`, `[`, `null`, `{"seed":1e400}`, "\xff",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, refusal := ParseCompletion(body, chat)
		if (c == nil) == (refusal == nil) {
			t.Fatal("ParseCompletion returns neither or both of request and refusal")
		}
		if refusal != nil && (refusal.Code != result.InvalidRequest || refusal.Ran != result.RanNo) {
			t.Fatalf("refusal %v is not InvalidRequest with RanNo", refusal)
		}
		if c != nil && (c.Service == "" || c.Prompt == "" || c.MaxTokens < 0) {
			t.Fatalf("ParseCompletion accepts the invalid request %+v", c)
		}
	})
}

// FuzzResumeOffset guards against values of Last-Event-ID that yield a negative
// offset, such as a negative number or one whose successor overflows.
func FuzzResumeOffset(f *testing.F) {
	for _, seed := range []string{"", "0", "17", "-1", "9223372036854775807", "1e3", " 1", "x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, id string) {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(HeaderLastEventID, id)
		offset, failure := ResumeOffset(r)
		if failure == nil && offset < 0 {
			t.Fatalf("offset %d for Last-Event-ID %q is negative", offset, id)
		}
	})
}
