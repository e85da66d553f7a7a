// Program rig3 plays the scripted cases of the third review. It is started in the root of the repository with the name of a case and the
// path of its record. TROUBLE=0 in the environment leaves out the disruption. It exits with 0 if the rule held, 1 if it was broken and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and returns what breaks the rule, nil if nothing does.
type play func(r *record, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"last-key": playLastKey,
	"options":  playOptions,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2]) //nolint:gosec // the caller names the file to write
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }() // what was written is checked by its reader
	r := &record{file: file, began: time.Now()}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
