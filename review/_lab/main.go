// Command lab holds the stand-ins and the scripts of the cases of the review: a store, workers,
// clients, and one function for each case. It uses the standard library only.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	caseFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE | lab plain [flags]")
		os.Exit(caseFailed)
	}
	if os.Args[1] == "plain" {
		runPlainWorker(os.Args[2:])
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "lab: unknown case", os.Args[1])
		os.Exit(caseFailed)
	}
	l := newLab()
	broken := run(l)
	l.finish(broken)
}

// cases are the scripts by name. A case reports whether the rule was broken.
var cases = map[string]func(*lab) bool{
	"encoded":    encodedCase,
	"uploads":    uploadsCase,
	"hangup":     hangupCase,
	"quarantine": quarantineCase,
	"handover":   handoverCase,
	"rolling":    rollingCase,
}
