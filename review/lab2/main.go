// Command lab2 plays the scripts of an independent review: stand-ins for the platform's store, the
// model workers and the clients, around the project's own programs as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"held-source":  heldSource,
	"dropped-call": droppedCall,
	"last-tenant":  lastTenant,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the record")
	target := flag.String("target", "target", "folder of the project's programs")
	flag.Parse()
	os.Exit(play(*name, *dir, *target))
}

func play(name, dir, target string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	f, err := newFleet(target, r, sizes[name])
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		r.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	broken, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		r.add("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.add("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
