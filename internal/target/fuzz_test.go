package target

import (
	"testing"

	"github.com/tmaxmax/go-sse"
)

// FuzzDecodeChunk guards against a malformed event of an engine that causes a panic
// or is accepted with a negative offset or completion length.
func FuzzDecodeChunk(f *testing.F) {
	f.Add(`{"choices":[{"index":0,"text":"a"}]}`, "0")
	f.Add(`{"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}`, "")
	f.Add(`{"choices":[]}`, "1")
	f.Add(`{"choices":[{},{}]}`, "-4")
	f.Add(`{"choices":[{"text":"a"}]}`, "-4")
	f.Add(`{"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":-2}}`, "")
	f.Add(`null`, "x")
	f.Fuzz(func(t *testing.T, data, id string) {
		c, err := decodeChunk(sse.Event{Data: data, LastEventID: id})
		if err == nil && (c.Offset < 0 || c.CompletionTokens < 0) {
			t.Fatalf("negative count in %+v", c)
		}
	})
}
