package vmlist

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
)

// fixedResponse is a transport that returns the same body for every request.
type fixedResponse []byte

func (body fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// FuzzVMList guards against VMs without a name or an address, and against a list
// that is returned together with an error, if the platform's response is malformed.
func FuzzVMList(f *testing.F) {
	for _, seed := range []string{
		`[{"targets":["127.0.0.1:1"],"labels":{"__meta_vm":"a","__meta_role":"target","__meta_state":"live"}}]`,
		`[{"targets":["x","y"],"labels":null}]`, `[{"labels":{"vm":"a"}}]`, `[]`, `{}`, `null`, `[null]`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list := NewClient("http://127.0.0.1:1/", &http.Client{Transport: fixedResponse(data)})
		vms, err := list.List(context.Background())
		if err != nil && vms != nil {
			t.Fatal("List returned both VMs and an error")
		}
		for i := range vms {
			if vms[i].Name == "" || vms[i].Addr == "" {
				t.Fatalf("VM without name or address: %+v", vms[i])
			}
		}
	})
}
