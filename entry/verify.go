package entry

import (
	"hash/maphash"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/caller"
)

// errDiverged is returned when a replay of a request does not reproduce the tokens
// that were already delivered.
var errDiverged = errors.New("the replay differs from the delivered tokens")

// digest is a running digest of a sequence of tokens.
type digest struct {
	hash       maphash.Hash
	tokenCount int
}

var digestSeed = maphash.MakeSeed()

func newDigest() *digest {
	d := &digest{}
	d.hash.SetSeed(digestSeed)
	return d
}

func (d *digest) addToken(token string) {
	_, _ = d.hash.WriteString(token)
	// The separator occurs in no token, since tokens are valid UTF-8.
	_ = d.hash.WriteByte(0xff)
	d.tokenCount++
}

func (d *digest) equal(other *digest) bool {
	return d.tokenCount == other.tokenCount && d.hash.Sum64() == other.hash.Sum64()
}

// replayVerifier is a Responder for a request with a seed. It keeps a digest of the
// delivered tokens, but not the tokens themselves. A replay, which is a new generation
// of the same request after a failed one, continues the answer only if its first
// tokens have the same digest. A replayVerifier is not safe for concurrent use.
type replayVerifier struct {
	caller.Responder
	deliveredDigest *digest
	// replayDigest is the digest of the tokens of a replay up to the number of
	// delivered tokens. It is nil outside a replay and once both digests are equal.
	replayDigest *digest
	// lastKeepAlive is when the last keep-alive was sent to the caller.
	lastKeepAlive time.Time
}

// replayKeepAlivePeriod is the minimum interval between keep-alives to a caller
// during a replay.
const replayKeepAlivePeriod = time.Second

func newReplayVerifier(r caller.Responder) *replayVerifier {
	return &replayVerifier{Responder: r, deliveredDigest: newDigest()}
}

// NextOffset implements caller.Responder.
func (v *replayVerifier) NextOffset() int {
	if v.replayDigest != nil {
		return v.replayDigest.tokenCount
	}
	return v.Responder.NextOffset()
}

// DiscardUndelivered implements caller.Responder. It always returns true, since a
// replay can be compared with the delivered tokens.
func (v *replayVerifier) DiscardUndelivered() bool {
	v.replayDigest = nil
	if !v.Responder.DiscardUndelivered() {
		v.replayDigest = newDigest()
	}
	return true
}

// Tokens implements caller.Responder.
func (v *replayVerifier) Tokens(offset int, tokens []string) error {
	if v.replayDigest != nil {
		return v.compare(offset, tokens)
	}
	newTokens := tokens[min(max(v.Responder.NextOffset()-offset, 0), len(tokens)):]
	if err := v.Responder.Tokens(offset, tokens); err != nil {
		return err
	}
	for _, t := range newTokens {
		v.deliveredDigest.addToken(t)
	}
	return nil
}

// compare adds tokens of a replay to its digest. Once the replay has reached the
// number of delivered tokens, compare returns errDiverged if the digests differ and
// otherwise delivers the tokens that follow.
func (v *replayVerifier) compare(offset int, tokens []string) error {
	if offset > v.replayDigest.tokenCount {
		return errors.Newf("gap in the replay: received token %d, expected token %d", offset, v.replayDigest.tokenCount)
	}
	uncompared := tokens[min(v.replayDigest.tokenCount-offset, len(tokens)):]
	for i, t := range uncompared {
		v.replayDigest.addToken(t)
		if v.replayDigest.tokenCount < v.deliveredDigest.tokenCount {
			continue
		}
		if !v.replayDigest.equal(v.deliveredDigest) {
			return errDiverged
		}
		v.replayDigest = nil
		if i+1 < len(uncompared) {
			return v.Tokens(v.deliveredDigest.tokenCount, uncompared[i+1:])
		}
	}
	return v.KeepAlive()
}

// KeepAlive implements caller.Responder.
func (v *replayVerifier) KeepAlive() error {
	if time.Since(v.lastKeepAlive) < replayKeepAlivePeriod {
		return nil
	}
	v.lastKeepAlive = time.Now()
	return v.Responder.KeepAlive()
}

// Finish implements caller.Responder.
func (v *replayVerifier) Finish(f caller.Finish) error {
	if v.replayDigest != nil {
		return errDiverged
	}
	return v.Responder.Finish(f)
}
