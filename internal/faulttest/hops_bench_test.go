package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// Parameters of BenchmarkHops. In each of hopRounds rounds it runs hopStreams
// concurrent streams of hopTokens tokens. hopStreams is half of hopBatchSize, the
// engine's batch size; hopStepTime is the engine's time per decode step.
const (
	hopStreams   = 32
	hopBatchSize = 64
	hopTokens    = 400
	hopStepTime  = 25 * time.Millisecond
	hopRounds    = 8
)

// hopProcesses is one engine, one agent and one entry without proxies between
// them.
type hopProcesses struct {
	agent, entry *process
	engineURL    string
	entryURL     string
}

func startHops(b *testing.B) *hopProcesses {
	b.Helper()
	engineOptions := standin.DefaultEngineOptions()
	engineOptions.Models, engineOptions.StepBase, engineOptions.StepPerSequence, engineOptions.StepPerPromptToken, engineOptions.MaxBatch = []string{"m1"}, hopStepTime, 0, 0, hopBatchSize
	engine := standin.NewEngine(engineOptions)
	b.Cleanup(engine.Close)
	vmList := standin.NewVMList(0)
	storeAddr, vmListAddr, engineAddr := serve(b, standin.NewStore().Handler()), serve(b, vmList.Handler()), serve(b, engine.Handler())
	client := kvstore.NewEtcdStore("http://"+storeAddr, &http.Client{}, time.Second)
	if _, err := operator.Publish(context.Background(), client, testDocuments(), "bench", time.Now()); err != nil {
		b.Fatal(err)
	}
	commonSettings := "datacentre = c1\nregion = central\nkeys = " + fleetKey + "\n[platform]\nstore = http://" + storeAddr + "\n"
	agentAddr, entryAddr := freeAddr(b), freeAddr(b)
	h := &hopProcesses{engineURL: "http://" + engineAddr, entryURL: "http://" + entryAddr}
	h.agent = startDaemon(b, "quetzalglade-agent", "model-1", agentAddr,
		"[target]\nengine = "+h.engineURL+"\nrole = model\n[process]\nvm = model-1\nlisten = "+agentAddr+"\n"+commonSettings)
	vmList.Put(vmlist.VM{Name: "model-1", Addr: agentAddr, Role: vmlist.RoleTarget, State: vmlist.VMLive, Datacentre: "c1", Region: "central"})
	h.entry = startDaemon(b, "quetzalglade-entry", "entry-1", entryAddr,
		"[process]\nvm = entry-1\nlisten = "+entryAddr+"\n"+commonSettings+"vm_list = http://"+vmListAddr+"\n")
	eventually(b, startTimeout, "the entry is ready and can use the target", func() bool {
		state, err := newPeerClient().State(context.Background(), entryAddr)
		return err == nil && state.UsableTargets == 1 && h.entry.ready()
	})
	return h
}

// readArrivals reads a stream and returns the arrival time of each token, the zero
// time for a token that did not arrive, or nil if the request fails. If
// onGenerationID is not nil, it is called with the id from the response header
// before the first token is read.
func readArrivals(b *testing.B, req *http.Request, onGenerationID func(string)) []time.Time {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Error(err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	if onGenerationID != nil {
		onGenerationID(resp.Header.Get(caller.HeaderGenerationID))
	}
	arrivalTimes := make([]time.Time, hopTokens)
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return arrivalTimes
		}
		if n, err := strconv.Atoi(event.LastEventID); err == nil && n < hopTokens && arrivalTimes[n].IsZero() {
			arrivalTimes[n] = time.Now()
		}
	}
	return arrivalTimes
}

// newRequest returns a streaming completion request for a path of url, which is the
// URL of the entry or of the engine. The name makes the prompt unique and is the
// request id.
func (h *hopProcesses) newRequest(b *testing.B, url, path string, length int, name string) *http.Request {
	model := "m1"
	if url == h.entryURL {
		model = "guide"
	}
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt(name, length), "stream": true, "max_tokens": length})
	if err != nil {
		b.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url+path, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(caller.HeaderRequestID, name)
	return req
}

// relayDelays streams one generation through entry and agent and, at the same
// time, directly from the engine. It returns for each token how much later it
// arrives through entry and agent.
func (h *hopProcesses) relayDelays(b *testing.B, name string) []time.Duration {
	var directTimes []time.Time
	var wg sync.WaitGroup
	relayedTimes := readArrivals(b, h.newRequest(b, h.entryURL, "/v1/completions", hopTokens, name), func(id string) {
		req, err := http.NewRequest(http.MethodGet, h.engineURL+"/v1/completions/"+id, nil)
		if err != nil {
			b.Error(err)
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			directTimes = readArrivals(b, req, nil)
		}()
	})
	wg.Wait()
	var delays []time.Duration
	// The direct reader connects only after the engine has generated some tokens, which
	// then arrive late, so skip the first 20.
	for i := 20; i < hopTokens && i < len(relayedTimes) && i < len(directTimes); i++ {
		delays = append(delays, relayedTimes[i].Sub(directTimes[i]))
	}
	return delays
}

// timeToFirstToken requests one token from the entry or the engine at url and
// returns the time until it arrives.
func (h *hopProcesses) timeToFirstToken(b *testing.B, url, name string) time.Duration {
	started := time.Now()
	arrivalTimes := readArrivals(b, h.newRequest(b, url, "/v1/completions", 1, name), nil)
	if len(arrivalTimes) == 0 {
		return 0
	}
	return arrivalTimes[0].Sub(started)
}

// quantileMicros sorts the durations and returns the quantile q in microseconds.
func quantileMicros(durations []time.Duration, q float64) float64 {
	slices.Sort(durations)
	return float64(durations[int(float64(len(durations)-1)*q)].Microseconds())
}

// cpuTime returns the CPU time that a process has used since its start.
func (p *process) cpuTime(b *testing.B) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Skip("no /proc/<pid>/stat on this system")
	}
	_, afterCommand, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(afterCommand)
	// userField and systemField are the indexes of utime and stime among the fields
	// after the command name, tick is the length of a clock tick at USER_HZ = 100.
	const userField, systemField, tick = 11, 12, 10 * time.Millisecond
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * tick
}

// residentMB returns the resident memory of a process in MB of 1024 kB.
func (p *process) residentMB(b *testing.B) float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Skip("no /proc/<pid>/status on this system")
	}
	defer func() { _ = f.Close() }()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		if text, ok := strings.CutPrefix(scanner.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// BenchmarkHops measures the latency, CPU time and memory that the two hops, entry
// and agent, add to a direct connection to the engine, at half of the engine's batch
// size.
func BenchmarkHops(b *testing.B) {
	h := startHops(b)
	b.ReportMetric(h.agent.residentMB(b), "MB-agent-idle")
	b.ReportMetric(h.entry.residentMB(b), "MB-entry-idle")
	agentCPU, entryCPU := h.agent.cpuTime(b), h.entry.cpuTime(b)
	var mu sync.Mutex
	var delays, relayedFirst, directFirst []time.Duration
	for round := range hopRounds {
		var wg sync.WaitGroup
		for i := range hopStreams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				streamDelays := h.relayDelays(b, fmt.Sprintf("s-%d-%d", round, i))
				mu.Lock()
				defer mu.Unlock()
				delays = append(delays, streamDelays...)
			}()
		}
		for i := range 100 {
			name := fmt.Sprintf("f-%d-%d", round, i)
			relayedFirst = append(relayedFirst, h.timeToFirstToken(b, h.entryURL, name))
			directFirst = append(directFirst, h.timeToFirstToken(b, h.engineURL, name))
		}
		wg.Wait()
		if round == hopRounds/2-1 {
			b.ReportMetric(h.agent.residentMB(b), "MB-agent-half")
			b.ReportMetric(h.entry.residentMB(b), "MB-entry-half")
		}
	}
	tokens := float64(hopRounds * hopStreams * hopTokens)
	b.ReportMetric(float64((h.agent.cpuTime(b)-agentCPU).Microseconds())/tokens, "us-cpu/token-agent")
	b.ReportMetric(float64((h.entry.cpuTime(b)-entryCPU).Microseconds())/tokens, "us-cpu/token-entry")
	b.ReportMetric(h.agent.residentMB(b), "MB-agent-end")
	b.ReportMetric(h.entry.residentMB(b), "MB-entry-end")
	b.ReportMetric(quantileMicros(delays, 0.5), "us-added-p50")
	b.ReportMetric(quantileMicros(delays, 0.99), "us-added-p99")
	b.ReportMetric(quantileMicros(relayedFirst, 0.5)-quantileMicros(directFirst, 0.5), "us-first-p50")
	b.ReportMetric(quantileMicros(relayedFirst, 0.99)-quantileMicros(directFirst, 0.99), "us-first-p99")
	b.ReportMetric(tokens, "tokens")
}
