// Command bench measures pollenpier on this machine and prints tables: single decisions, a routed request compared with a
// direct call, the users' measures compared with simple baselines, the cost of values of cutoff_hold, and the control cost
// of an idle instance. It must be started in the root of the repository, uses only the loopback interface and exits within
// five minutes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// options contains the command-line arguments.
type options struct {
	Only     []string      `long:"only" value-name:"PART" choice:"decisions" choice:"path" choice:"users" choice:"hold" choice:"idle" description:"Part to run; may be repeated. Default all"`
	Duration time.Duration `long:"duration" value-name:"DURATION" default:"4s" description:"Length of each load on the path, at most 10s"`
	Idle     time.Duration `long:"idle" value-name:"DURATION" default:"20s" description:"Length of the idle measurement at the deployments' size, half of it at others; at most 30s"`
	Profile  string        `long:"profile" value-name:"FILE" description:"CPU profile of the path through pollenpier at half load"`
}

const (
	// limit is the longest run time. Parts that are not finished by then are reported as failed.
	limit = 5 * time.Minute
	// maxProcessors limits the number of cores used, since the machine may be shared.
	maxProcessors = 4
	maxDuration   = 10 * time.Second
	maxIdle       = 30 * time.Second
)

// errBounds means that a duration in the arguments is not positive or too long.
var errBounds = errors.New("duration out of bounds")

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	err := run(ctx, o)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// run runs the selected parts in order. It continues after a part that fails and returns the joined errors.
func run(ctx context.Context, o options) error {
	if o.Duration <= 0 || o.Duration > maxDuration || o.Idle <= 0 || o.Idle > maxIdle {
		return errors.Wrapf(errBounds, "duration %v, idle %v", o.Duration, o.Idle)
	}
	runtime.GOMAXPROCS(min(maxProcessors, runtime.NumCPU()))
	commit, err := commitID(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("commit %s, %s, cores %d of %d used, load %s\n",
		commit, runtime.Version(), runtime.GOMAXPROCS(0), runtime.NumCPU(), loadAverage())
	var failed error
	for _, part := range []struct {
		name string
		run  func() error
	}{
		{"decisions", func() error { return measureDecisions(ctx) }},
		{"path", func() error { return measurePath(ctx, o) }},
		{"users", func() error { return measureUsers(ctx) }},
		{"hold", measureCutoffHolds},
		{"idle", func() error { return measureIdle(ctx, o.Idle) }},
	} {
		if !selected(o.Only, part.name) {
			continue
		}
		fmt.Printf("\n== %s (load before: %s)\n", part.name, loadAverage())
		if err := part.run(); err != nil {
			failed = errors.Join(failed, errors.Wrap(err, part.name))
		}
	}
	return failed
}

// selected reports whether a part is selected. An empty list selects all parts.
func selected(only []string, part string) bool {
	for _, name := range only {
		if name == part {
			return true
		}
	}
	return len(only) == 0
}

// commitID returns the abbreviated commit of the working tree, with the suffix -dirty if files have changed.
func commitID(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty", "--abbrev=10").Output()
	if err != nil {
		return "", errors.Wrap(err, "determine commit")
	}
	return strings.TrimSpace(string(out)), nil
}

// loadAverage returns the load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
