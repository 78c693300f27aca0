package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalglade/quetzalglade/vmlist"
)

// VMList simulates the platform's list of VMs, which shows changes after a lag.
// It is safe for concurrent use.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []vmChange
	visible map[string]vmlist.VM
}

// vmChange is a change of one VM. A nil vm removes the VM.
type vmChange struct {
	visibleAt time.Time
	name      string
	vm        *vmlist.VM
}

// NewVMList returns an empty list that shows changes after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, visible: map[string]vmlist.VM{}}
}

// Put adds or replaces a VM.
func (l *VMList) Put(vm vmlist.VM) { l.change(vm.Name, &vm) }

// Remove removes a VM from the list.
func (l *VMList) Remove(name string) { l.change(name, nil) }

func (l *VMList) change(name string, vm *vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, vmChange{visibleAt: time.Now().Add(l.lag), name: name, vm: vm})
}

// Handler returns the HTTP handler of the list. GET returns the list in the format of
// Prometheus's HTTP service discovery, POST adds or replaces a VM, and DELETE /{name}
// removes one.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", l.handleList)
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		var vm vmlist.VM
		if decodeRequest(w, r, &vm) {
			l.Put(vm)
		}
	})
	mux.HandleFunc("DELETE /{name}", func(_ http.ResponseWriter, r *http.Request) { l.Remove(r.PathValue("name")) })
	return mux
}

func (l *VMList) handleList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(time.Now())
	groups := make([]vmlist.TargetGroup, 0, len(l.visible))
	for _, vm := range l.visible {
		groups = append(groups, vmlist.TargetGroup{
			Targets: []string{vm.Addr},
			Labels: map[string]string{
				vmlist.LabelVM: vm.Name, vmlist.LabelRole: string(vm.Role), vmlist.LabelState: string(vm.State),
				vmlist.LabelDatacentre: vm.Datacentre, vmlist.LabelRegion: vm.Region,
			},
		})
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Labels[vmlist.LabelVM] < groups[j].Labels[vmlist.LabelVM] })
	data, err := json.Marshal(groups)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// applyDue makes the changes visible whose lag has passed.
func (l *VMList) applyDue(now time.Time) {
	for len(l.changes) > 0 && !now.Before(l.changes[0].visibleAt) {
		c := l.changes[0]
		l.changes = l.changes[1:]
		if c.vm == nil {
			delete(l.visible, c.name)
			continue
		}
		l.visible[c.name] = *c.vm
	}
}
