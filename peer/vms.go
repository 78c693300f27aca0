package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalglade/quetzalglade/vmlist"
)

// PathVMs is the path that serves the VM list that a process last read.
const PathVMs = "/peer/v1/vms"

// VMs answers a request for the VM list. The list is left out if its digest equals
// the one in the request.
type VMs struct {
	Digest string      `json:"digest"`
	VMs    []vmlist.VM `json:"vms,omitempty"`
}

// DigestVMs returns the digest of a VM list.
func DigestVMs(vms []vmlist.VM) string {
	h := xxhash.New()
	_ = json.NewEncoder(h).Encode(vms)
	return strconv.FormatUint(h.Sum64(), 16)
}

// VMs requests the VM list that a process last read. The response contains the list
// only if its digest differs from the given one.
func (c *Client) VMs(ctx context.Context, addr, digest string) (VMs, error) {
	var out VMs
	err := c.exchange(ctx, http.MethodGet, addr, PathVMs+"?digest="+digest, nil, &out)
	return out, err
}
