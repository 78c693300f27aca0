package bodybudget

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned by Read for a body over its limit.
var ErrTooLarge = errors.New("body exceeds the size limit")

// Body is the body of a request. Its owner is the request; writes to targets use it beside
// the owner. Its memory is free when neither holds it.
type Body struct {
	budget   *Budget
	priority int
	large    bool
	// unknown is set while the length is neither declared nor known to be small. Such a body is
	// admitted like a large one.
	unknown bool
	hold    func(bytes int64)
	pieces  [][]byte

	// The budget's mutex guards what follows.
	id int64
	// reserved is the number of bytes that count for the body, held those that its
	// pieces take.
	reserved, held int64
	reservedUntil  time.Time
	owned          bool
	// unrepeatable is set if a target that has received the request may not get it again,
	// unless it states that it did not run it. keep is set if the body is never dropped.
	unrepeatable, keep bool
	writers            int
	// sent is set once a write that began after the last call of Reuse has ended without an
	// error; reuses counts these calls.
	sent   bool
	reuses int
}

// IsLarge reports whether a body of the declared length, below 0 if unknown, may be large, so
// that it may be dropped early.
func IsLarge(declared int64) bool { return declared < 0 || declared > pieceBytes }

// Options describe a body that is read.
type Options struct {
	// Declared is the declared length, below 0 if unknown. MaxBytes limits the length.
	Declared, MaxBytes int64
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// Unrepeatable and Keep describe the request: see Body.
	Unrepeatable, Keep bool
	// Stop, when closed, and Deadline, if set, end the wait for memory.
	Stop     <-chan struct{}
	Deadline time.Time
	// Gone, if set, reports whether the client has closed its connection. Its wait for memory
	// ends then.
	Gone func() bool
	// Hold, if set, is called with each change of the memory that counts for the body. It must
	// not call the budget.
	Hold func(bytes int64)
	// Observer, if set, receives a body for which IsLarge holds while it is read.
	Observer io.Writer
}

// Read reads a body. It holds what has arrived, and the declared length for reservationTime.
// The caller must release the body if there is no error. Read returns ErrTooLarge for a body
// over MaxBytes, and ErrFull for one that gets no memory in time; nothing of it is held then.
func (b *Budget) Read(ctx context.Context, r io.Reader, o *Options) (*Body, error) {
	if o.Declared > o.MaxBytes {
		return nil, ErrTooLarge
	}
	body := &Body{
		budget: b, priority: o.Priority, large: o.Declared > pieceBytes,
		unknown: o.Declared < 0, hold: o.Hold,
		owned: true, unrepeatable: o.Unrepeatable, keep: o.Keep,
	}
	if o.Declared == 0 {
		return body, nil
	}
	b.mu.Lock()
	b.lastID++
	body.id = b.lastID
	b.mu.Unlock()
	err := body.read(ctx, r, o)
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func (p *Body) read(ctx context.Context, r io.Reader, o *Options) error {
	if first := roundUp(o.Declared); first > 0 {
		if err := p.budget.claim(ctx, o, p, first); err != nil {
			return err
		}
	}
	if !IsLarge(o.Declared) {
		piece := make([]byte, o.Declared)
		p.pieces = [][]byte{piece}
		_, err := io.ReadFull(r, piece)
		return errors.Wrap(err, "read body")
	}
	p.budget.mu.Lock()
	p.reservedUntil = time.Now().Add(reservationTime)
	p.budget.mu.Unlock()
	for total := int64(0); total != o.Declared; {
		piece, err := p.nextPiece(ctx, o)
		if err != nil {
			return err
		}
		n, err := io.ReadFull(r, piece[:nextBytes(o.Declared, total)])
		p.pieces[len(p.pieces)-1] = piece[:n]
		total += int64(n)
		if o.Observer != nil {
			_, _ = o.Observer.Write(piece[:n])
		}
		switch {
		case total > o.MaxBytes:
			return ErrTooLarge
		case err == nil:
		case o.Declared < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			p.shrink()
			return nil
		default:
			return errors.Wrap(err, "read body")
		}
	}
	return nil
}

// nextBytes returns how much the next piece holds of a body of which total has been read.
func nextBytes(declared, total int64) int64 {
	if declared < 0 {
		return pieceBytes
	}
	return min(pieceBytes, declared-total)
}

// roundUp returns the memory that a body of the declared length takes, 0 if it is unknown.
func roundUp(declared int64) int64 {
	if declared <= pieceBytes {
		return max(declared, 0)
	}
	return (declared + pieceBytes - 1) / pieceBytes * pieceBytes
}

// nextPiece adds a piece. It claims its memory if that is not reserved.
func (p *Body) nextPiece(ctx context.Context, o *Options) ([]byte, error) {
	b := p.budget
	b.mu.Lock()
	// From here on the piece counts as held, so that its reservation does not end.
	p.held += pieceBytes
	if len(p.pieces) > 0 && !p.large {
		p.large = true
		b.large = append(b.large, p)
	}
	missing := p.held > p.reserved
	b.mu.Unlock()
	if missing {
		if err := b.claim(ctx, o, p, pieceBytes); err != nil {
			return nil, err
		}
	}
	array := b.pieces.Get().(*[pieceBytes]byte)
	p.pieces = append(p.pieces, array[:])
	return array[:], nil
}

// shrink ends the read of a body of unknown length. One that has turned out to be small is
// copied, so that it takes only its own size.
func (p *Body) shrink() {
	if p.large {
		return
	}
	content := slices.Clone(p.pieces[0])
	p.budget.pieces.Put((*[pieceBytes]byte)(p.pieces[0][:pieceBytes]))
	p.pieces[0] = content
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.unknown = false
	p.count(int64(len(content)) - p.reserved)
	p.reserved, p.held = int64(len(content)), int64(len(content))
	p.budget.grant()
}

// compare orders bodies by urgency and then by the arrival of their requests.
func (p *Body) compare(other *Body) int {
	return cmp.Or(cmp.Compare(p.priority, other.priority), cmp.Compare(p.id, other.id))
}

// Pieces returns the content. It is valid between Start and the call of its end, and for a
// small body until Release.
func (p *Body) Pieces() [][]byte { return p.pieces }

// Reuse reports whether the body is still held, and keeps it from being dropped until it
// has been sent again.
func (p *Body) Reuse() bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.sent = false
	p.reuses++
	return p.owned
}

// Start begins a write of the body, which holds its memory until end is called.
func (p *Body) Start() (end func(error)) {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.writers++
	reuses := p.reuses
	return func(err error) {
		p.budget.mu.Lock()
		defer p.budget.mu.Unlock()
		p.writers--
		p.sent = p.sent || err == nil && reuses == p.reuses
		p.free()
		p.budget.grant()
	}
}

// Release ends the owner's use of the body.
func (p *Body) Release() {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.owned = false
	p.free()
	p.budget.grant()
}

// count changes the memory that counts for the body. The caller holds the budget's mutex.
func (p *Body) count(bytes int64) {
	p.budget.used += bytes
	if p.hold != nil {
		p.hold(bytes)
	}
}

// waitsAsLarge reports whether the body is admitted like a large one.
func (p *Body) waitsAsLarge() bool { return p.large || p.unknown }

// endReservation frees what has been reserved but is not held, if its time has passed. The
// caller holds the budget's mutex.
func (p *Body) endReservation(now time.Time) {
	if excess := p.reserved - p.held; excess > 0 && !p.reservedUntil.IsZero() && now.After(p.reservedUntil) {
		p.count(-excess)
		p.reserved = p.held
	}
}

// drop frees the memory of a body that has been sent. The caller holds the budget's mutex.
func (p *Body) drop(unrepeatable bool) {
	if !p.owned || p.keep || !p.sent || p.writers > 0 || p.unrepeatable != unrepeatable {
		return
	}
	p.owned = false
	p.budget.dropped++
	p.free()
}

// free frees the memory that neither the owner nor a write holds. The caller holds the
// budget's mutex.
func (p *Body) free() {
	if p.owned || p.writers > 0 || p.reserved == 0 {
		return
	}
	p.count(-p.reserved)
	p.reserved, p.held = 0, 0
	if !p.large {
		return
	}
	if i := slices.Index(p.budget.large, p); i >= 0 {
		p.budget.large = slices.Delete(p.budget.large, i, i+1)
	}
	for _, piece := range p.pieces {
		p.budget.pieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
	}
	p.pieces = nil
}
