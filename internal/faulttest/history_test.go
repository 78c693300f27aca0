package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/result"
)

// requestRecord is one request and the response that its caller received.
type requestRecord struct {
	// A generation sets prompt and completion. A call to a plain service sets path,
	// nonIdempotent, status and body. For a generation, history.check sets failure
	// and err from the completion.
	prompt        string
	path          string
	nonIdempotent bool
	completion    *completion
	status        int
	body          string
	failure       *result.Error
	err           error
}

// history collects the request records of concurrent callers.
type history struct {
	mu      sync.Mutex
	records []*requestRecord
}

func (h *history) add(r *requestRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
}

// workload is a set of concurrent callers, each of which sends distinct requests.
type workload struct {
	fleet *fleet
	// pickEntry returns the address of the entry for the next request.
	pickEntry func() string
	// callers is the number of callers.
	callers int
	// maxTokens limits the output length of a generation.
	maxTokens int
	// includesPlainCalls adds calls to a plain service to the generations.
	includesPlainCalls bool
	history
}

// run sends requests until ctx is done and waits for the last responses.
func (w *workload) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for callerIndex := range w.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(callerIndex)))
			for requestIndex := 0; ctx.Err() == nil; requestIndex++ {
				w.sendRequest(fmt.Sprintf("%d-%d-%d", seed, callerIndex, requestIndex), rng)
			}
		}()
	}
	wg.Wait()
}

// sendRequest sends a request of a random kind and records the response. The name
// makes its prompt or its path and idempotency key unique.
func (w *workload) sendRequest(name string, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	addr := w.pickEntry()
	choice := rng.IntN(10)
	if !w.includesPlainCalls {
		choice = rng.IntN(6)
	}
	promptText := prompt(name, 1+rng.IntN(w.maxTokens))
	switch {
	case choice < 3:
		w.add(&requestRecord{prompt: promptText, completion: resumeUntilDone(ctx, w.pickEntry, generate(ctx, addr, "guide", promptText, nil, nil))})
	case choice < 5:
		seed := int64(rng.IntN(1000))
		w.add(&requestRecord{prompt: promptText, completion: resumeUntilDone(ctx, w.pickEntry, generate(ctx, addr, "triage", promptText, &seed, nil))})
	case choice < 6:
		w.add(&requestRecord{prompt: promptText, completion: generateUnstreamed(ctx, addr, "guide", promptText)})
	case choice < 8:
		w.callPlainService(ctx, addr, http.MethodGet, "/visits/"+name, "")
	default:
		w.callPlainService(ctx, addr, http.MethodPost, "/deposits/"+name, "key-"+name)
	}
}

func (w *workload) callPlainService(ctx context.Context, addr, method, path, key string) {
	record := &requestRecord{path: path, nonIdempotent: method == http.MethodPost}
	record.status, record.body, record.failure, record.err = invokeWithKey(ctx, addr, method, "/s/booking"+path, key, "{}")
	w.add(record)
}

// maxResumes limits how often a caller resumes one completion.
const maxResumes = 3

// resumeUntilDone resumes a completion whose connection broke, until it is complete
// or the fleet reports an error, but at most maxResumes times. A completion without a
// generation id cannot be resumed.
func resumeUntilDone(ctx context.Context, pickEntry func() string, c *completion) *completion {
	for range maxResumes {
		if c.complete || c.failure != nil || c.generationID == "" {
			return c
		}
		time.Sleep(50 * time.Millisecond)
		c = c.resume(ctx, pickEntry())
	}
	return c
}

// outcomeCounts counts the requests in a history by outcome.
type outcomeCounts struct {
	complete int
	// transportErrors counts requests that failed without an error with a result code
	// from the fleet; ranStates and errorCodes count the errors with a result code.
	transportErrors int
	ranStates       map[result.Ran]int
	errorCodes      map[result.Code]int
}

func (c outcomeCounts) String() string {
	return fmt.Sprintf("complete %d, transport errors %d, ran %v, codes %v", c.complete, c.transportErrors, c.ranStates, c.errorCodes)
}

// check compares a history with what the targets ran and describes each violation
// of what callers may rely on. Violations are: an error with "ran: no" for a request
// that ran; a response that belongs to another request, has tokens out of order or
// differs from the engine's output, or counts as complete without being so; an error
// with a wrong number of delivered tokens; a successful call to a plain service that
// did not run; a non-idempotent call that ran more than once.
func (h *history) check(fleet *fleet) (violations []string, counts outcomeCounts) {
	counts = outcomeCounts{ranStates: map[result.Ran]int{}, errorCodes: map[result.Code]int{}}
	for _, r := range h.records {
		var violation string
		if r.completion != nil {
			r.failure, r.err = r.completion.failure, r.completion.err
			violation = fleet.checkCompletion(r)
		} else {
			violation = fleet.checkCall(r)
		}
		if violation != "" {
			violations = append(violations, fmt.Sprintf("%s%s: %s (error %v)", r.prompt, r.path, violation, r.failure))
		}
		switch {
		case r.failure != nil:
			counts.ranStates[r.failure.Ran]++
			counts.errorCodes[r.failure.Code]++
		case r.err != nil:
			counts.transportErrors++
		default:
			counts.complete++
		}
	}
	return violations, counts
}

// checkCompletion describes the violation in the record of a generation, empty if
// there is none.
func (f *fleet) checkCompletion(record *requestRecord) string {
	runs := 0
	// output and recordedPrompt are the output and the prompt that an engine recorded
	// for the generation id.
	var output, recordedPrompt string
	for _, tg := range f.targets {
		if tg.engine == nil {
			continue
		}
		runs += tg.engine.StartCount(record.prompt)
		if enginePrompt := tg.engine.Prompt(record.completion.generationID); enginePrompt != "" {
			recordedPrompt = enginePrompt
			output = strings.Join(tg.engine.Output(record.completion.generationID), "")
		}
	}
	c := record.completion
	switch {
	case c.failure != nil && c.failure.Ran == result.RanNo && runs > 0:
		return fmt.Sprintf("refused as not run, but ran %d times", runs)
	case c.outOfOrder > 0:
		return "tokens out of order"
	case c.text != "" && c.failure == nil && recordedPrompt != record.prompt:
		return fmt.Sprintf("answered with the output of prompt %q", recordedPrompt)
	case c.complete && c.text != output:
		return fmt.Sprintf("complete with text %q, engine generated %q", c.text, output)
	case c.complete && strings.Count(c.text, " ") != requestedTokens(record.prompt):
		return fmt.Sprintf("complete with %d tokens, prompt asks for another number", strings.Count(c.text, " "))
	case c.failure == nil && !strings.HasPrefix(output, c.text):
		return "text is not a prefix of the engine's output"
	case c.failure != nil && c.lastEventID >= 0 && c.failure.Delivered != c.lastEventID+1 && c.status == http.StatusOK:
		return fmt.Sprintf("error reports %d delivered tokens, caller received %d", c.failure.Delivered, c.lastEventID+1)
	}
	return ""
}

// requestedTokens returns the output length that a prompt asks for.
func requestedTokens(promptText string) (n int) {
	_, marker, _ := strings.Cut(promptText, "<<")
	_, _ = fmt.Sscanf(marker, "len=%d>>", &n)
	return n
}

// checkCall describes the violation in the record of a call to a plain service, empty
// if there is none.
func (f *fleet) checkCall(record *requestRecord) string {
	runs := 0
	for _, tg := range f.targets {
		if tg.plainService != nil {
			runs += tg.plainService.CallCount(record.path)
		}
	}
	switch {
	case record.failure != nil && record.failure.Ran == result.RanNo && runs > 0:
		return fmt.Sprintf("refused as not run, but ran %d times", runs)
	case record.nonIdempotent && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case record.failure == nil && record.err == nil && (runs == 0 || !strings.Contains(record.body, record.path)):
		return fmt.Sprintf("answered with body %q after %d runs", record.body, runs)
	}
	return ""
}
