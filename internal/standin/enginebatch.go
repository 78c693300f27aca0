package standin

import (
	"sort"
	"time"
)

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
			e.emit()
		case <-e.stop:
			return
		}
	}
}

// step composes the next batch and returns the time that it takes, 0 if there
// is nothing to do.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := e.schedule()
	if len(e.running) == 0 {
		return 0
	}
	d := e.opts.Base + time.Duration(len(e.running))*e.opts.PerSequence + time.Duration(prefill)*e.opts.PerPrefill
	return time.Duration(float64(d) * e.slow)
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.opts.BlockTokens - 1) / e.opts.BlockTokens
}

// schedule admits waiting sequences and returns the prompt tokens to compute.
func (e *Engine) schedule() int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
		s := e.waiting[0]
		tokens := s.prompt + len(s.tokens)
		need := e.blocksFor(tokens + 1)
		if e.used+need > e.opts.Blocks || (prefill > 0 && prefill+tokens > e.opts.MaxPrefill) {
			break
		}
		e.waiting = e.waiting[1:]
		s.blocks = need
		e.used += need
		e.running = append(e.running, s)
		prefill += tokens
		if len(s.tokens) > 0 {
			e.stats.Recomputed += int64(tokens)
		}
	}
	return prefill
}

// emit gives every running sequence its next token.
func (e *Engine) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := append([]*sequence(nil), e.running...)
	sort.Slice(batch, func(i, j int) bool { return before(batch[i], batch[j]) })
	for _, s := range batch {
		if s.blocks == 0 || !e.grow(s) {
			continue
		}
		s.prefilled = true
		s.tokens = append(s.tokens, s.token(len(s.tokens)))
		e.stats.Tokens++
		switch {
		case len(s.tokens) >= s.length:
			e.end(s, "stop")
		case len(s.tokens) >= s.max:
			e.end(s, "length")
		}
		s.notify()
	}
	e.forget()
}

// grow makes room for one more token of s. When memory is full the least
// urgent, youngest sequence is preempted; it returns false if that is s.
func (e *Engine) grow(s *sequence) bool {
	need := e.blocksFor(s.prompt+len(s.tokens)+1) - s.blocks
	for need > 0 && e.used+need > e.opts.Blocks {
		victim := e.victim()
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	if need > 0 {
		s.blocks += need
		e.used += need
	}
	return true
}

func (e *Engine) victim() *sequence {
	worst := e.running[0]
	for _, s := range e.running[1:] {
		if before(worst, s) {
			worst = s
		}
	}
	return worst
}

func (e *Engine) preempt(s *sequence) {
	e.release(s)
	s.prefilled = false
	e.stats.Preemptions++
	e.enqueue(s)
}

func (e *Engine) release(s *sequence) {
	e.used -= s.blocks
	s.blocks = 0
	for i, r := range e.running {
		if r == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

func (e *Engine) end(s *sequence, reason string) {
	e.release(s)
	s.finish = reason
	s.ended = time.Now()
	if reason == finishCancelled {
		e.stats.Cancelled++
		return
	}
	e.stats.Completed++
}

const finishCancelled = "cancelled"

// retention is how long ended completions can be resumed.
const retention = time.Minute

func (e *Engine) forget() {
	if len(e.byID) < 1024 {
		return
	}
	for id, s := range e.byID {
		if s.finish != "" && time.Since(s.ended) > retention {
			delete(e.byID, id)
		}
	}
}

func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return false
	}
	if s.finish != "" {
		return true
	}
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.end(s, finishCancelled)
	s.notify()
	return true
}
