package decision

import "time"

// Account is a queue's summary for routers.
type Account struct {
	QueuedPrompt int
	UsedTokens   int
	TotalTokens  int
	Cadence      time.Duration
	// Wait and ShortWait are the expected waits of new long and short work.
	Wait      time.Duration
	ShortWait time.Duration
}

// Account returns the summary.
func (q *Queue) Account() Account {
	a := Account{
		UsedTokens: q.ledger.used(q.running), TotalTokens: q.ledger.memory.Blocks * q.ledger.memory.BlockTokens,
		Cadence: q.speed.cadence,
	}
	short, all := 0.0, 0.0
	for _, it := range q.waiting {
		a.QueuedPrompt += it.PromptTokens
		all += it.cost
		if it.Short {
			short += it.cost
		}
	}
	a.Wait, a.ShortWait = q.rate.wait(all)+q.stall, q.rate.wait(short)
	return a
}
