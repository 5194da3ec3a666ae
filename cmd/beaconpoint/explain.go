package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/beaconpoint/beaconpoint/explain"
)

// explainCommand returns the command that explains the outcome of a job from the logs of
// all processes.
func explainCommand() *command {
	var id string
	var files []string
	c := &command{sub: newCommand("explain", "collects the log lines of a job and explains its outcome")}
	c.sub.AddPositionalValue(&id, "id", 1, true, "the ID of the job, or of a request that submitted it")
	c.sub.StringSlice(&files, "f", "log", "a log file; default: standard input")
	c.run = func(context.Context) int {
		logs, err := readLogs(files)
		if err != nil {
			return reportError(exitUsage, err)
		}
		explanation, err := explain.Job(id, logs...)
		if errors.Is(err, explain.ErrUnknownJob) {
			return reportError(exitUnknown, err)
		}
		if err != nil {
			return reportError(exitFailed, err)
		}
		for _, l := range explanation.Lines {
			fmt.Println(l)
		}
		fmt.Println(explanation.Summary)
		return exitOK
	}
	return c
}

// readLogs reads the files, or standard input if there are none.
func readLogs(files []string) ([][]byte, error) {
	if len(files) == 0 {
		raw, err := io.ReadAll(os.Stdin)
		return [][]byte{raw}, err
	}
	var logs [][]byte
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		logs = append(logs, raw)
	}
	return logs, nil
}
