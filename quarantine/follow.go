package quarantine

import (
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

var _ kvstore.Follower = (*Keeper)(nil)

// Reset implements kvstore.Follower. Marks merge, so none is forgotten.
func (k *Keeper) Reset(kvs []kvstore.KV, _ int64) {
	k.lost = false
	for i := range kvs {
		k.adopt(kvs[i].Value)
	}
}

// Apply implements kvstore.Follower.
func (k *Keeper) Apply(batch kvstore.WatchBatch) {
	k.lost = false
	for i := range batch.Events {
		if !batch.Events[i].Deleted {
			k.adopt(batch.Events[i].KV.Value)
		}
	}
}

// Lost implements kvstore.Follower: the marks known stay.
func (k *Keeper) Lost(err error) {
	if !k.lost {
		telemetry.Warn(k.logger, "lost the store", "following", "quarantine", "err", err)
	}
	k.lost = true
}
