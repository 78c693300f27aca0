package peer

import (
	"bytes"
	"io"
	"testing"
)

// FuzzParseGenerationID guards against ids that parse without a VM or an
// incarnation, or that differ from the id built of the parsed parts.
func FuzzParseGenerationID(f *testing.F) {
	for _, seed := range []string{"", "gen-", "gen-vm.inc.rnd", "gen-a.b.c.d", "gen-..", "gen-.x.y", "gen-x..y", "vm.inc.rnd"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, id string) {
		vm, incarnation, ok := ParseGenerationID(id)
		if !ok {
			return
		}
		if vm == "" || incarnation == "" {
			t.Fatalf("%q: the VM or the incarnation is empty", id)
		}
		random := id[len(GenerationID(vm, incarnation, "")):]
		if GenerationID(vm, incarnation, random) != id {
			t.Fatalf("%q differs from the id built of its parts", id)
		}
	})
}

// FuzzFrames guards against negative counts and endless streams if a peer sends
// malformed frames.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{
		"", "{}\n", `{"generation":"g","offset":3,"tokens":["a","b"]}` + "\n", `{"end":{"reason":"stop","tokens":2}}` + "\n",
		`{"error":{"code":3001,"ran":"yes"}}`, `{"offset":-1}`, "{\n}", "null\n", "\xff\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newFrameStream(io.NopCloser(bytes.NewReader(data)))
		for range len(data) + 2 {
			frame, err := s.Next()
			if err != nil {
				return
			}
			if frame.Offset < 0 || (frame.End != nil && frame.End.Tokens < 0) {
				t.Fatalf("negative count in %+v", frame)
			}
		}
		t.Fatal("the stream does not end")
	})
}
