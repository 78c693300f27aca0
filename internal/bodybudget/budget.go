// Package bodybudget bounds the memory that a process holds for the bodies of requests. A
// body is admitted before it is read, kept once in pieces of a fixed size that are used
// again, and let go early if the memory is needed and the body has been sent.
package bodybudget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pieceBytes is the size of the pieces of a large body. A body up to this size is small: it
// is kept in one piece of its own size.
const pieceBytes = 64 << 10

// smallShare is the part of the budget that large bodies leave to small ones.
const smallShare = 1.0 / 8

// Times of the admission.
const (
	// maxWait limits how long a body waits for memory.
	maxWait = time.Second
	// reservationTime is how long the declared length of a body is held for it. A body
	// that arrives more slowly holds only what has arrived.
	reservationTime = 500 * time.Millisecond
	// recheckPeriod is the time between two looks for reservations that have ended while
	// a body waits.
	recheckPeriod = 50 * time.Millisecond
)

// ErrFull is returned for a body that gets no memory in time.
var ErrFull = errors.New("request bodies exceed the memory of the process for them")

// errGone is returned for a body whose client has left while it waited.
var errGone = errors.New("the client has closed its connection")

// Budget is the memory for the bodies of all requests together. It may be used from any
// goroutine.
type Budget struct {
	maxBytes int64
	pieces   sync.Pool

	mu      sync.Mutex
	used    int64
	lastID  int64
	waiters []*waiter
	// large holds the large bodies that hold memory, in the order of their requests.
	large []*Body
	// dropped is the number of bodies that were let go early, refused that of bodies that
	// got no memory.
	dropped, refused int64
}

// waiter is a body that waits for memory.
type waiter struct {
	body    *Body
	bytes   int64
	granted chan struct{}
}

// New returns a budget of maxBytes.
func New(maxBytes int64) *Budget {
	b := &Budget{maxBytes: maxBytes}
	b.pieces.New = func() any { return new([pieceBytes]byte) }
	return b
}

// MaxBytes returns the size of the budget.
func (b *Budget) MaxBytes() int64 { return b.maxBytes }

// Used returns the number of bytes that are held or reserved for bodies.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Dropped returns the number of bodies that were let go after they had been sent, since
// other requests needed the memory.
func (b *Budget) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Refused returns the number of bodies that got no memory.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// limit returns the bytes that bodies of the given kind may use up together with all others.
func (b *Budget) limit(large bool) int64 {
	if large {
		return b.maxBytes - int64(smallShare*float64(b.maxBytes))
	}
	return b.maxBytes
}

// claim reserves bytes for a body. It waits if they are not free, in the order of priority
// and then of arrival, until ctx, the stop or the deadline of the options or maxWait ends.
func (b *Budget) claim(ctx context.Context, o *Options, body *Body, bytes int64) error {
	b.mu.Lock()
	if bytes > b.limit(body.waitsAsLarge()) {
		b.refused++
		b.mu.Unlock()
		return errors.Wrapf(ErrFull, "body of %d bytes, limit %d", bytes, b.limit(body.waitsAsLarge()))
	}
	if (len(b.waiters) == 0 || !body.waitsAsLarge()) && b.used+bytes <= b.limit(body.waitsAsLarge()) {
		b.assign(body, bytes)
		b.mu.Unlock()
		return nil
	}
	w := &waiter{body: body, bytes: bytes, granted: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(b.waiters, w, func(x, y *waiter) int { return x.body.compare(y.body) })
	b.waiters = slices.Insert(b.waiters, i, w)
	b.grant()
	b.mu.Unlock()
	return b.await(ctx, o, w)
}

// await waits until a claim is granted.
func (b *Budget) await(ctx context.Context, o *Options, w *waiter) error {
	select {
	case <-w.granted:
		return nil
	default:
	}
	wait := maxWait
	if !o.Deadline.IsZero() {
		wait = min(wait, time.Until(o.Deadline))
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckPeriod)
	defer recheck.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-recheck.C:
			if o.Gone != nil && o.Gone() {
				return b.giveUp(w, errGone)
			}
			b.mu.Lock()
			b.grant()
			b.mu.Unlock()
		case <-timeout.C:
			return b.giveUp(w, ErrFull)
		case <-ctx.Done():
			return b.giveUp(w, ctx.Err())
		case <-o.Stop:
			return b.giveUp(w, ErrFull)
		}
	}
}

// giveUp ends a claim. It returns nil if the claim has been granted meanwhile.
func (b *Budget) giveUp(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return nil
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	b.refused++
	b.grant()
	return err
}

// grant grants the claims that fit. A large body waits behind the first one that does not
// fit, a small body does not. The caller holds mu.
func (b *Budget) grant() {
	largeBlocked := false
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if w.body.waitsAsLarge() && largeBlocked || !b.makeRoom(w) {
			largeBlocked = true
			return false
		}
		b.assign(w.body, w.bytes)
		close(w.granted)
		return true
	})
}

// assign counts bytes for a body. The caller holds mu.
func (b *Budget) assign(body *Body, bytes int64) {
	if body.large && body.reserved == 0 {
		b.large = append(b.large, body)
	}
	body.count(bytes)
	body.reserved += bytes
}

// makeRoom reports whether a claim fits, if need be after the ends of reservations and
// after bodies that have been sent were dropped, those that can't be repeated first. The
// caller holds mu.
func (b *Budget) makeRoom(w *waiter) bool {
	fits := func() bool { return b.used+w.bytes <= b.limit(w.body.waitsAsLarge()) }
	if fits() {
		return true
	}
	now := time.Now()
	for _, free := range []func(*Body){
		func(body *Body) { body.endReservation(now) },
		func(body *Body) { body.drop(true) },
		func(body *Body) { body.drop(false) },
	} {
		for _, body := range slices.Clone(b.large) {
			if free(body); fits() {
				return true
			}
		}
	}
	return fits()
}
