package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"strings"

	"github.com/go-faster/errors"
)

// benchmarks are the benchmarks of the decisions with the packages that hold them.
var benchmarks = []struct{ pattern, time, packages string }{
	{"Locate|Lookups|Spend|Memory|Replay$|Restore", "100ms", "./internal/decide/routing ./internal/decide/admission " +
		"./internal/decide/outcome ./internal/records"},
	{"Replay", "20x", "./internal/decide/ownership"},
	{"BuildAtDesignSize", "5x", "./internal/decide/routing"},
	{"Propose", "3x", "./internal/decide/placement"},
}

// measures are the tests that log the users' measures, with their baselines on the same seeded input.
var measures = []struct{ pattern, packages string }{
	{"TestLessImbalance|TestStragglers|TestMovesPerLoss", "./internal/decide/placement"},
	{"TestFloodingCustomer|TestRampAgainst", "./internal/decide/backpressure"},
	{"TestDemandBelowTheRate", "./internal/decide/admission"},
	{"TestHeartbeatBytes", "./internal/peer"},
	{"TestChangeBytes", "./internal/configlog"},
	{"TestAppendsPer", "./internal/service/control"},
}

// measureDecisions runs the benchmarks of the decisions.
func measureDecisions(ctx context.Context) error {
	var failed error
	for _, b := range benchmarks {
		args := "test -run ^$ -benchmem -cpu 2 -benchtime " + b.time + " -bench " + b.pattern + " " + b.packages
		failed = errors.Join(failed, goTest(ctx, strings.Fields(args), isBenchmark))
	}
	return failed
}

// measureUsers runs the tests that compare with a baseline.
func measureUsers(ctx context.Context) error {
	var failed error
	for _, m := range measures {
		args := []string{"test", "-count=1", "-v", "-cpu", "2", "-run", m.pattern, m.packages}
		failed = errors.Join(failed, goTest(ctx, args, isLogged))
	}
	return failed
}

// goTest runs go test and prints the lines that show asks for. If it fails, it prints all lines.
func goTest(ctx context.Context, args []string, show func(line string) bool) error {
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput() // #nosec G204 -- the arguments are constants of this file
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		if err != nil || show(lines.Text()) {
			fmt.Println(lines.Text())
		}
	}
	if err != nil {
		return errors.Wrapf(err, "go %s", strings.Join(args, " "))
	}
	return nil
}

// isBenchmark selects the results of benchmarks.
func isBenchmark(line string) bool { return strings.HasPrefix(line, "Benchmark") }

// isLogged selects what a test logs and its verdict.
func isLogged(line string) bool {
	return strings.HasPrefix(strings.TrimSpace(line), "--- ") || strings.Contains(line, "_test.go:")
}
