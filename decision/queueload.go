package decision

import "time"

// QueueLoad is the load of a queue as reported to routers.
type QueueLoad struct {
	// QueuedPromptTokens is the number of prompt tokens of the waiting items.
	QueuedPromptTokens int
	// KVTokens is the part of the KV cache in use, and KVCapacityTokens the size
	// of the KV cache, both in tokens.
	KVTokens          int
	KVCapacityTokens  int
	InterTokenLatency time.Duration
	// Wait and ShortWait are the expected waits of new long and short work.
	Wait      time.Duration
	ShortWait time.Duration
}

// Load returns the current load of the queue.
func (q *Queue) Load() QueueLoad {
	load := QueueLoad{
		KVTokens: q.forecaster.usedTokens(q.running), KVCapacityTokens: q.forecaster.cache.Blocks * q.forecaster.cache.BlockTokens,
		InterTokenLatency: q.limiter.interTokenLatency,
	}
	short, all := 0.0, 0.0
	for _, it := range q.waiting {
		load.QueuedPromptTokens += it.PromptTokens
		all += it.cost
		if it.Short {
			short += it.cost
		}
	}
	load.Wait, load.ShortWait = q.workRate.duration(all)+q.blockedWait, q.workRate.duration(short)
	return load
}
