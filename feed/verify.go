package feed

import (
	"context"
	"time"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// A watch of the store may go on without the changes, or without responses, while the store
// answers reads. So the store's position is also read.
const (
	// verifyPeriod is the time between two reads of the position. The first one comes after
	// firstVerifyDelay if the watch before has failed without a response.
	verifyPeriod     = time.Second
	firstVerifyDelay = 300 * time.Millisecond
	// maxUnseen is the time after which the watch must have reached a position that was read.
	// It exceeds twice the time for which the store holds back the response to a watch.
	maxUnseen = 1500 * time.Millisecond
)

// positionRead is the position of the store that a read returned.
type positionRead struct {
	position kvstore.Position
	// startedAt is when the read began, took is its duration.
	startedAt time.Time
	took      time.Duration
}

// watchVerifier finds changes that a watch misses. The zero value has no reads.
type watchVerifier struct {
	// unseen is the first read whose position the watch has not reached, nil for none.
	unseen *positionRead
	// failedBefore is set if the watch before has failed without a response. Reads that are
	// answered then show that only watches are not.
	failedBefore bool
}

// read records a read while the watch is at the given position.
func (v *watchVerifier) read(r positionRead, watched kvstore.Position) {
	if v.unseen == nil && watched.Before(r.position) {
		v.unseen = &r
	}
}

// reached records the position of the watch.
func (v *watchVerifier) reached(watched kvstore.Position) {
	if v.unseen != nil && !watched.Before(v.unseen.position) {
		v.unseen = nil
	}
}

// isMissing reports whether the watch should have reached the position that was read. On a
// slow link its responses are as late as those to reads.
func (v *watchVerifier) isMissing(now time.Time) bool {
	return v.unseen != nil && (v.failedBefore || now.Sub(v.unseen.startedAt) > maxUnseen+2*v.unseen.took)
}

// readPositions reads the position of the store periodically until ctx ends. It leaves out
// failed reads.
func (s *Source) readPositions(ctx context.Context, firstDelay time.Duration) <-chan positionRead {
	out := make(chan positionRead)
	go func() {
		for delay := firstDelay; ctx.Err() == nil; delay = verifyPeriod {
			sleep(ctx, delay)
			startedAt := time.Now()
			// The range holds one small key, and the response the position of the store.
			_, position, err := s.Store.Range(ctx, MemberPrefix+s.members.Name())
			if err != nil {
				continue
			}
			select {
			case out <- positionRead{position: position, startedAt: startedAt, took: time.Since(startedAt)}:
			case <-ctx.Done():
			}
		}
	}()
	return out
}
