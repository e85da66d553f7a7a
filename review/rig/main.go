// Command rig plays the cases of the review that are scripts. It starts instances of pollenpier as separate processes, with a store and
// endpoints of its own on loopback addresses, sends requests, and checks one rule of the platform.
//
// Usage: rig CASE RECORD. The variable TROUBLE=0 leaves the disruption out. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one case. It returns the violations of its rule.
type play func(s *site, trouble bool) ([]string, error)

var plays = map[string]play{
	"crash-in-move":    playCrashInMove,
	"foreign-entry":    playForeignEntry,
	"large-bodies":     playLargeBodies,
	"small-burst":      playSmallBurst,
	"repeated-release": playRepeatedRelease,
}

func main() { os.Exit(runCase(os.Args[1:])) }

func runCase(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := playIn(rec, args[0])
	for _, b := range broken {
		rec.line("BROKEN: %s", b)
	}
	code := exitHeld
	switch {
	case err != nil:
		rec.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitFailed
	case len(broken) > 0:
		fmt.Printf("rule broken, %d times; the first: %s\n", len(broken), broken[0])
		code = exitBroken
	default:
		fmt.Println("rule held")
	}
	rec.line("exit code %d", code)
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}

// playIn plays a case with a temporary directory for settings and logs.
func playIn(rec *record, name string) ([]string, error) {
	dir, err := os.MkdirTemp("", "pollenpier-review-")
	if err != nil {
		return nil, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	defer func() { _ = os.RemoveAll(dir) }()
	rec.line("case %s, with the disruption: %t", name, trouble)
	s, err := newSite(rec, "target/pollenpier", dir)
	if err != nil {
		return nil, err
	}
	defer s.close()
	go s.endEarly()
	return plays[name](s, trouble)
}

// playTime is the longest time for which a case runs.
const playTime = 110 * time.Second

// endEarly ends the processes of the site and the rig when the rig is told to stop, or when the case has run for too long.
func (s *site) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(playTime):
	}
	for _, n := range s.instances {
		n.signal(syscall.SIGKILL)
	}
	os.Exit(exitFailed)
}
