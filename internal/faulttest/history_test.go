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

// observation is what one caller saw of one request.
type observation struct {
	// prompt of a generation, or uri of a call.
	prompt  string
	uri     string
	once    bool
	answer  *answer
	status  int
	body    string
	failure *result.Error
	err     error
}

// history collects what concurrent callers saw.
type history struct {
	mu   sync.Mutex
	seen []*observation
}

func (h *history) add(o *observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, o)
}

// workload is a set of concurrent callers with distinct requests.
type workload struct {
	f *fleet
	// pick returns the address of an entry.
	pick    func() string
	callers int
	// length bounds the output's tokens.
	length int
	// calls includes plain calls.
	calls bool
	history
}

// run sends requests until ctx ends and waits for the last answers.
func (w *workload) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for c := range w.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(seed, uint64(c)))
			for i := 0; ctx.Err() == nil; i++ {
				w.request(fmt.Sprintf("%d-%d-%d", seed, c, i), r)
			}
		}()
	}
	wg.Wait()
}

func (w *workload) request(name string, r *rand.Rand) {
	limit, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	addr := w.pick()
	kind := r.IntN(10)
	if !w.calls {
		kind = r.IntN(6)
	}
	text := prompt(name, 1+r.IntN(w.length))
	switch {
	case kind < 3:
		w.add(&observation{prompt: text, answer: resumed(limit, w.pick, generate(limit, addr, "guide", text, nil, nil))})
	case kind < 5:
		seed := int64(r.IntN(1000))
		w.add(&observation{prompt: text, answer: resumed(limit, w.pick, generate(limit, addr, "triage", text, &seed, nil))})
	case kind < 6:
		w.add(&observation{prompt: text, answer: generateWhole(limit, addr, "guide", text)})
	case kind < 8:
		w.call(limit, addr, http.MethodGet, "/visits/"+name, "")
	default:
		w.call(limit, addr, http.MethodPost, "/deposits/"+name, "key-"+name)
	}
}

func (w *workload) call(ctx context.Context, addr, method, uri, key string) {
	o := &observation{uri: uri, once: method == http.MethodPost}
	o.status, o.body, o.failure, o.err = invoke(ctx, addr, method, "/s/booking"+uri, key, "{}")
	w.add(o)
}

// resumeTries bounds how often a caller resumes a cut answer.
const resumeTries = 3

// resumed goes on with an answer whose connection broke.
func resumed(ctx context.Context, pick func() string, a *answer) *answer {
	for range resumeTries {
		if a.complete || a.failure != nil || a.generation == "" {
			return a
		}
		time.Sleep(50 * time.Millisecond)
		a = a.resume(ctx, pick())
	}
	return a
}

// tally counts outcomes of a history.
type tally struct {
	complete int
	cut      int
	ran      map[result.Ran]int
	codes    map[result.Code]int
}

func (t tally) String() string {
	return fmt.Sprintf("complete %d, cut %d, ran %v, codes %v", t.complete, t.cut, t.ran, t.codes)
}

// check compares a history with what the targets ran and returns violations:
// a "ran: no" of work that ran, an answer that is not the whole and only answer
// to its own request, a call with two effects.
func (h *history) check(f *fleet) (violations []string, t tally) {
	t = tally{ran: map[result.Ran]int{}, codes: map[result.Code]int{}}
	for _, o := range h.seen {
		var fault string
		if o.answer != nil {
			o.failure, o.err = o.answer.failure, o.answer.err
			fault = f.checkAnswer(o)
		} else {
			fault = f.checkCall(o)
		}
		if fault != "" {
			violations = append(violations, fmt.Sprintf("%s%s: %s (failure %v)", o.prompt, o.uri, fault, o.failure))
		}
		switch {
		case o.failure != nil:
			t.ran[o.failure.Ran]++
			t.codes[o.failure.Code]++
		case o.err != nil:
			t.cut++
		default:
			t.complete++
		}
	}
	return violations, t
}

func (f *fleet) checkAnswer(o *observation) string {
	runs := 0
	var output, own string
	for _, tg := range f.targets {
		if tg.engine == nil {
			continue
		}
		runs += tg.engine.Runs(o.prompt)
		if p := tg.engine.Prompt(o.answer.generation); p != "" {
			own = p
			output = strings.Join(tg.engine.Output(o.answer.generation), "")
		}
	}
	a := o.answer
	switch {
	case a.failure != nil && a.failure.Ran == result.RanNo && runs > 0:
		return fmt.Sprintf("refused as not run, ran %d times", runs)
	case a.disorder > 0:
		return "tokens out of order"
	case a.text != "" && a.failure == nil && own != o.prompt:
		return fmt.Sprintf("answered with the output of %q", own)
	case a.complete && a.text != output:
		return fmt.Sprintf("complete with %q instead of %q", a.text, output)
	case a.complete && strings.Count(a.text, " ") != wanted(o.prompt):
		return fmt.Sprintf("complete with %d tokens", strings.Count(a.text, " "))
	case a.failure == nil && !strings.HasPrefix(output, a.text):
		return "not a prefix of the output"
	case a.failure != nil && a.last >= 0 && a.failure.Delivered != a.last+1 && a.status == http.StatusOK:
		return fmt.Sprintf("said to have %d tokens, has %d", a.failure.Delivered, a.last+1)
	}
	return ""
}

// wanted returns the output length that a prompt asks for.
func wanted(text string) (n int) {
	_, marker, _ := strings.Cut(text, "<<")
	_, _ = fmt.Sscanf(marker, "len=%d>>", &n)
	return n
}

func (f *fleet) checkCall(o *observation) string {
	runs := 0
	for _, tg := range f.targets {
		if tg.plain != nil {
			runs += tg.plain.Runs(o.uri)
		}
	}
	switch {
	case o.failure != nil && o.failure.Ran == result.RanNo && runs > 0:
		return fmt.Sprintf("refused as not run, ran %d times", runs)
	case o.once && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case o.failure == nil && o.err == nil && (runs == 0 || !strings.Contains(o.body, o.uri)):
		return fmt.Sprintf("answered with %q after %d runs", o.body, runs)
	}
	return ""
}
