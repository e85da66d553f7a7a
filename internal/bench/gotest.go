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

// benchmarks lists the benchmarks of the decision packages, each with its -bench pattern, -benchtime and packages.
var benchmarks = []struct{ pattern, time, packages string }{
	{"Locate|Lookups|Spend|Memory|Replay$|Restore", "100ms", "./internal/decide/routing ./internal/decide/admission " +
		"./internal/decide/outcome ./internal/records"},
	{"Replay", "20x", "./internal/decide/ownership"},
	{"BuildAtDesignSize", "5x", "./internal/decide/routing"},
	{"Propose", "3x", "./internal/decide/placement"},
}

// baselineTests lists the tests that log the measures which users asked for, together with those of a baseline on the same
// seeded input.
var baselineTests = []struct{ pattern, packages string }{
	{"TestLessImbalance|TestStragglers|TestMovesPerLoss", "./internal/decide/placement"},
	{"TestFloodingCustomer|TestRampAgainst", "./internal/decide/backpressure"},
	{"TestDemandBelowTheRate", "./internal/decide/admission"},
	{"TestHeartbeatBytes", "./internal/peer"},
	{"TestChangeBytes", "./internal/configlog"},
	{"TestAppendsPer", "./internal/service/control"},
}

// measureDecisions runs the benchmarks of the decision packages.
func measureDecisions(ctx context.Context) error {
	var failed error
	for _, b := range benchmarks {
		args := "test -run ^$ -benchmem -cpu 2 -benchtime " + b.time + " -bench " + b.pattern + " " + b.packages
		failed = errors.Join(failed, goTest(ctx, strings.Fields(args), isBenchmark))
	}
	return failed
}

// measureUsers runs the tests that compare the users' measures with a baseline.
func measureUsers(ctx context.Context) error {
	var failed error
	for _, m := range baselineTests {
		args := []string{"test", "-count=1", "-v", "-cpu", "2", "-run", m.pattern, m.packages}
		failed = errors.Join(failed, goTest(ctx, args, isTestLog))
	}
	return failed
}

// goTest runs the go command with args and prints the output lines that selectLine accepts. If the command fails, it prints
// all lines.
func goTest(ctx context.Context, args []string, selectLine func(line string) bool) error {
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput() // #nosec G204 -- the arguments are constants of this file
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		if err != nil || selectLine(lines.Text()) {
			fmt.Println(lines.Text())
		}
	}
	if err != nil {
		return errors.Wrapf(err, "go %s", strings.Join(args, " "))
	}
	return nil
}

// isBenchmark reports whether a line is the result of a benchmark.
func isBenchmark(line string) bool { return strings.HasPrefix(line, "Benchmark") }

// isTestLog reports whether a line is logged by a test or contains its verdict.
func isTestLog(line string) bool {
	return strings.HasPrefix(strings.TrimSpace(line), "--- ") || strings.Contains(line, "_test.go:")
}
