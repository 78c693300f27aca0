package decision

import "time"

// Account is the load of a queue as reported to routers.
type Account struct {
	QueuedPrompt int
	UsedTokens   int
	TotalTokens  int
	Cadence      time.Duration
	// Wait and ShortWait are the expected waits of new long and short work.
	Wait      time.Duration
	ShortWait time.Duration
}

// Account returns the current load of the queue.
func (q *Queue) Account() Account {
	load := Account{
		UsedTokens: q.forecaster.usedTokens(q.running), TotalTokens: q.forecaster.cache.Blocks * q.forecaster.cache.BlockTokens,
		Cadence: q.limiter.interTokenLatency,
	}
	short, all := 0.0, 0.0
	for _, it := range q.waiting {
		load.QueuedPrompt += it.PromptTokens
		all += it.cost
		if it.Short {
			short += it.cost
		}
	}
	load.Wait, load.ShortWait = q.workRate.duration(all)+q.holdWait, q.workRate.duration(short)
	return load
}
