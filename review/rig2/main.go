// Command rig2 plays the scripted case of the second review against the project's own program: it starts instances with the command of
// the deploy file, and stand-ins of the store, of backend servers, of callers and of the platform beside them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// play is one case. It returns whether the rule was broken.
type play func(r *record, trouble bool) (bool, error)

var plays = map[string]play{
	"entry": playEntry,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble: %t", args[0], trouble)
	broken, err := plays[args[0]](r, trouble)
	switch {
	case err != nil:
		r.conclude("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.conclude("the rule was broken")
		return exitBroken
	default:
		r.conclude("the rule held")
		return exitHeld
	}
}
