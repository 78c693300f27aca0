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

// VMs is the VM list with its digest. The list is empty if its digest equals the
// requested one.
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

// VMs requests the VM list of a process. The list is returned only if its digest
// differs from the given one.
func (c *Client) VMs(ctx context.Context, addr, digest string) (VMs, error) {
	var out VMs
	err := c.exchange(ctx, http.MethodGet, addr, PathVMs+"?digest="+digest, nil, &out)
	return out, err
}
