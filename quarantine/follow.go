package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

var _ kvstore.Follower = (*Keeper)(nil)

// Reset implements kvstore.Follower. It merges the stored marks into the table,
// so marks that are missing from the store stay in the table. After a restore of the store,
// the marks that this process has written are written again.
func (k *Keeper) Reset(kvs []kvstore.KV, position kvstore.Position) {
	k.storeUnavailable = false
	for i := range kvs {
		k.mergeEncoded(kvs[i].Value)
	}
	if !k.restores.Reset(position) {
		return
	}
	marks := k.writtenMarks()
	telemetry.Warn(k.logger, "store restored", "following", "quarantine", "era", position.Era, "rewritten", len(marks))
	time.AfterFunc(rand.N(rewriteSpread), func() { k.Enqueue(marks) })
}

// Apply implements kvstore.Follower.
func (k *Keeper) Apply(batch kvstore.WatchBatch) {
	k.storeUnavailable = false
	for i := range batch.Events {
		if !batch.Events[i].Deleted {
			k.mergeEncoded(batch.Events[i].KV.Value)
		}
	}
}

// Disconnected implements kvstore.Follower. The table keeps its marks while the
// store is unavailable.
func (k *Keeper) Disconnected(err error) {
	if !k.storeUnavailable {
		telemetry.Warn(k.logger, "store unavailable", "following", "quarantine", "err", err)
	}
	k.storeUnavailable = true
}
