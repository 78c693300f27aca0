package entry

import (
	"hash/maphash"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/caller"
)

// errDiverged is returned when a second run of a request does not reproduce
// the tokens that were delivered from the first.
var errDiverged = errors.New("the second run differs from the delivered tokens")

// digest is a running digest of a sequence of tokens.
type digest struct {
	hash  maphash.Hash
	count int
}

var digestSeed = maphash.MakeSeed()

func newDigest() *digest {
	d := &digest{}
	d.hash.SetSeed(digestSeed)
	return d
}

func (d *digest) add(token string) {
	_, _ = d.hash.WriteString(token)
	// No token holds this byte, since tokens are valid UTF-8.
	_ = d.hash.WriteByte(0xff)
	d.count++
}

func (d *digest) equal(other *digest) bool {
	return d.count == other.count && d.hash.Sum64() == other.hash.Sum64()
}

// verified is a Responder of a seeded request. It keeps a digest of the
// delivered tokens, so that a second run may go on after them, but only if it
// generated the same. It holds no tokens. It is used by one goroutine.
type verified struct {
	caller.Responder
	first *digest
	// second is the digest of a second run up to the delivered tokens, nil
	// once both are equal.
	second *digest
	// alive is when the caller last got something.
	alive time.Time
}

// replayKeepAlive is the longest silence towards a caller during a replay.
const replayKeepAlive = time.Second

func newVerified(r caller.Responder) *verified {
	return &verified{Responder: r, first: newDigest()}
}

// Next implements caller.Responder.
func (v *verified) Next() int {
	if v.second != nil {
		return v.second.count
	}
	return v.Responder.Next()
}

// Restart implements caller.Responder: a request can always be run again.
func (v *verified) Restart() bool {
	v.second = nil
	if !v.Responder.Restart() {
		v.second = newDigest()
	}
	return true
}

// Tokens implements caller.Responder.
func (v *verified) Tokens(offset int, tokens []string) error {
	if v.second != nil {
		return v.compare(offset, tokens)
	}
	fresh := tokens[min(max(v.Responder.Next()-offset, 0), len(tokens)):]
	if err := v.Responder.Tokens(offset, tokens); err != nil {
		return err
	}
	for _, t := range fresh {
		v.first.add(t)
	}
	return nil
}

// compare takes tokens of the second run up to those delivered, and delivers
// what follows once all are equal.
func (v *verified) compare(offset int, tokens []string) error {
	if offset > v.second.count {
		return errors.Newf("gap before token %d, %d compared", offset, v.second.count)
	}
	rest := tokens[min(v.second.count-offset, len(tokens)):]
	for i, t := range rest {
		v.second.add(t)
		if v.second.count < v.first.count {
			continue
		}
		if !v.second.equal(v.first) {
			return errDiverged
		}
		v.second = nil
		if i+1 < len(rest) {
			return v.Tokens(v.first.count, rest[i+1:])
		}
	}
	return v.KeepAlive()
}

// KeepAlive implements caller.Responder.
func (v *verified) KeepAlive() error {
	if time.Since(v.alive) < replayKeepAlive {
		return nil
	}
	v.alive = time.Now()
	return v.Responder.KeepAlive()
}

// Finish implements caller.Responder.
func (v *verified) Finish(f caller.Finish) error {
	if v.second != nil {
		return errDiverged
	}
	return v.Responder.Finish(f)
}
