package main

import (
	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
)

// admission returns the limits of an engine's agent under a named variant: ""
// for all mechanisms, "fixed" for slots alone, or one that leaves a mechanism
// out.
func admission(name string, slots int) (decision.QueueLimits, error) {
	l := decision.DefaultQueueLimits()
	l.Slots = slots
	switch name {
	case "":
	case "fixed":
		l = decision.QueueLimits{Slots: slots, Length: l.Length}
	case "no_memory":
		l.Memory = false
	case "no_gap":
		l.TokenGap = 0
	case "no_short":
		l.ShortShare = 0
	case "no_wait":
		l.MaxWait = 0
	case "no_fair":
		l.Fair = false
	default:
		return l, errors.Newf("unknown admission variant %q", name)
	}
	return l, nil
}
