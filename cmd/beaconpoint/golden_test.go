package main

import (
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

// commands are the subcommands in the order of the help text.
var commands = []string{"node", "entry", "agent", "check", "demo", "submit", "load", "plan", "confirm", "drain", "show",
	"history", "status", "explain", "codes", "events", "version"}

// run runs the binary and returns its exit code and its combined output.
func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(cluster.Binary(t), args...)
	cmd.Env = []string{}
	cmd.Dir = "testdata"
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		assert.NilError(t, err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// TestHelpMatchesGolden guards against removed or renamed subcommands and flags.
func TestHelpMatchesGolden(t *testing.T) {
	_, out := run(t, "--help")
	golden.Assert(t, out, "help.golden")
	for _, c := range commands {
		_, out := run(t, c, "--help")
		golden.Assert(t, out, "help-"+c+".golden")
	}
}

// TestExitCodesMatchGolden guards against changed exit codes.
func TestExitCodesMatchGolden(t *testing.T) {
	var out strings.Builder
	fmt.Fprintln(&out, exitOK, exitFailed, exitUsage, exitRefused, exitConflict, exitUnknown, exitUnreachable)
	for _, args := range [][]string{
		{"version"}, {"node", "--settings", "absent.yaml"}, {"node", "--settings", "bad-node.yaml"},
		{"entry", "--settings", "absent.yaml"}, {"entry"},
		{"check", "--settings", "good-node.yaml"}, {"check", "--settings", "good-entry.yaml"},
		{"agent", "--settings", "good-entry.yaml"},
		{"submit", "--entry", "http://127.0.0.1:1"}, {"submit", "--payload", "{"}, {"plan"},
		{"plan", "--file", "bad-node.yaml"},
		{"show", "--entries", "http://127.0.0.1:1"}, {"explain", "0000000000000001"},
		{"explain", "--log", "absent.log", "x"},
	} {
		exit, text := run(t, args...)
		text, _, _ = strings.Cut(text, "\n")
		fmt.Fprintf(&out, "%s: %d %s\n", strings.Join(args, " "), exit, text)
	}
	golden.Assert(t, out.String(), "exit-codes.golden")
}
