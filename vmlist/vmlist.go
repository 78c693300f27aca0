// Package vmlist is a client of the platform's list of VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/jsonlist"
)

// VMState is the state of a VM in the platform's list. The list shows changes
// with a delay.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is the role of a VM. It determines which process of this project runs on
// the VM.
type VMRole string

// The roles of a VM. An entry VM runs a process that accepts callers' requests, a
// target VM runs an agent beside an engine or plain service.
const (
	RoleEntry  VMRole = "entry"
	RoleTarget VMRole = "target"
)

// VM is one VM of the platform's list.
type VM struct {
	Name string
	// Addr is the "ip:port" of this project's process on the VM.
	Addr       string
	Role       VMRole
	State      VMState
	Datacentre string
	Region     string
}

// Client is a client of the platform's list of VMs. The list is in the JSON format
// of Prometheus HTTP service discovery. A Client is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client

	mu sync.Mutex
	// etag and lastVMs are the entity tag and the VMs of the last response. etag is
	// empty if that response had none.
	etag    string
	lastVMs []VM
}

// NewClient returns a client of the list at url.
func NewClient(url string, client *http.Client) *Client { return &Client{url: url, http: client} }

// TargetGroup is the JSON form of a group of addresses that share labels. Targets
// are the addresses, in the terms of Prometheus, of VMs of any role.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// The labels of a TargetGroup that the platform sets.
const (
	LabelVM         = "__meta_vm"
	LabelRole       = "__meta_role"
	LabelState      = "__meta_state"
	LabelDatacentre = "__meta_datacentre"
	LabelRegion     = "__meta_region"
)

// List requests the current list and leaves out groups that cannot be decoded. If the platform sends entity tags and the list
// is unchanged, List returns the VMs of the last response. The caller must not
// modify the result.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "VM list: create request")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	defer httpclient.CloseBody(resp)
	if c.etag != "" && resp.StatusCode == http.StatusNotModified {
		return c.lastVMs, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list: status %d", resp.StatusCode)
	}
	var groups jsonlist.List[TargetGroup]
	if err := json.NewDecoder(resp.Body).Decode(&groups); err != nil {
		return nil, errors.Wrap(err, "VM list: decode")
	}
	c.etag, c.lastVMs = resp.Header.Get("ETag"), flatten(groups.Items)
	return c.lastVMs, nil
}

// flatten returns a VM for each address in the groups. It skips groups without a
// VM name and empty addresses.
func flatten(groups []TargetGroup) []VM {
	var vms []VM
	for _, group := range groups {
		if group.Labels[LabelVM] == "" {
			continue
		}
		for _, addr := range group.Targets {
			if addr == "" {
				continue
			}
			vms = append(vms, VM{
				Name:       group.Labels[LabelVM],
				Addr:       addr,
				Role:       VMRole(group.Labels[LabelRole]),
				State:      VMState(group.Labels[LabelState]),
				Datacentre: group.Labels[LabelDatacentre],
				Region:     group.Labels[LabelRegion],
			})
		}
	}
	return vms
}
