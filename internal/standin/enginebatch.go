package standin

import (
	"sort"
	"time"
)

// loop runs steps until the engine stops. While no sequence is running it waits for
// a request.
func (e *Engine) loop() {
	for {
		d := e.step()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		select {
		case <-time.After(d):
			e.emitTokens()
		case <-e.stop:
			return
		}
	}
}

// step schedules the next batch and returns the duration of the step, 0 if no
// sequence is running.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := e.schedule()
	if len(e.running) == 0 {
		return 0
	}
	d := e.opts.StepBase + time.Duration(len(e.running))*e.opts.StepPerSequence + time.Duration(prefill)*e.opts.StepPerPromptToken
	return time.Duration(float64(d) * e.slowdown)
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.opts.BlockTokens - 1) / e.opts.BlockTokens
}

// schedule admits waiting sequences to the batch and returns the number of tokens to
// prefill: the prompts and, after a preemption, the output generated before it.
func (e *Engine) schedule() int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
		s := e.waiting[0]
		tokens := s.promptTokens + len(s.tokens)
		neededBlocks := e.blocksFor(tokens + 1)
		if e.usedBlocks+neededBlocks > e.opts.Blocks || (prefill > 0 && prefill+tokens > e.opts.MaxPrefillTokens) {
			break
		}
		e.waiting = e.waiting[1:]
		s.blocks = neededBlocks
		e.usedBlocks += neededBlocks
		e.running = append(e.running, s)
		prefill += tokens
		if len(s.tokens) > 0 {
			e.stats.RecomputedTokens += int64(tokens)
		}
	}
	return prefill
}

// emitTokens appends the next token to every running sequence.
func (e *Engine) emitTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := append([]*sequence(nil), e.running...)
	sort.Slice(batch, func(i, j int) bool { return precedes(batch[i], batch[j]) })
	for _, s := range batch {
		if s.blocks == 0 || !e.grow(s) {
			continue
		}
		s.prefilled = true
		s.tokens = append(s.tokens, s.token(len(s.tokens)))
		e.stats.OutputTokens++
		switch {
		case len(s.tokens) >= s.outputTokens:
			e.finish(s, "stop")
		case len(s.tokens) >= s.max:
			e.finish(s, "length")
		}
		s.notify()
	}
	e.evictFinished()
}

// grow allocates KV cache blocks for the next token of s. While the cache is
// full it preempts the running sequence with the lowest precedence; it returns
// false if that sequence is s.
func (e *Engine) grow(s *sequence) bool {
	neededBlocks := e.blocksFor(s.promptTokens+len(s.tokens)+1) - s.blocks
	for neededBlocks > 0 && e.usedBlocks+neededBlocks > e.opts.Blocks {
		victim := e.selectVictim()
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	if neededBlocks > 0 {
		s.blocks += neededBlocks
		e.usedBlocks += neededBlocks
	}
	return true
}

// selectVictim returns the running sequence with the lowest precedence.
func (e *Engine) selectVictim() *sequence {
	lowest := e.running[0]
	for _, s := range e.running[1:] {
		if precedes(lowest, s) {
			lowest = s
		}
	}
	return lowest
}

// preempt frees the KV cache of s and queues s again.
func (e *Engine) preempt(s *sequence) {
	e.release(s)
	s.prefilled = false
	e.stats.Preemptions++
	e.enqueue(s)
}

// release frees the KV cache blocks of s and removes s from the batch.
func (e *Engine) release(s *sequence) {
	e.usedBlocks -= s.blocks
	s.blocks = 0
	for i, r := range e.running {
		if r == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

func (e *Engine) finish(s *sequence, reason string) {
	e.release(s)
	s.finishReason = reason
	s.finishTime = time.Now()
	if reason == finishCancelled {
		e.stats.Cancelled++
		return
	}
	e.stats.Completed++
}

// finishCancelled is the finish reason of a cancelled completion.
const finishCancelled = "cancelled"

// retention is how long a finished completion can be resumed.
const retention = time.Minute

// evictFinished removes finished completions whose retention has ended, once the
// engine holds 1024 completions.
func (e *Engine) evictFinished() {
	if len(e.byID) < 1024 {
		return
	}
	for id, s := range e.byID {
		if s.finishReason != "" && time.Since(s.finishTime) > retention {
			delete(e.byID, id)
		}
	}
}

// cancel finishes a completion early. It returns false for an unknown one.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return false
	}
	if s.finishReason != "" {
		return true
	}
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.finish(s, finishCancelled)
	s.notify()
	return true
}
