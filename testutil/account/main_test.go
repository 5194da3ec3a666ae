package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// dayReport is a report whose second window has both unanswered and refused or late requests.
const dayReport = `{"G":0.85,"parts":[["whole day",0.7,0.9],["worst windows",0.15,0.8],["worst class",0.15,0.88]],
	"all":{"name":"all","n":300,"late":10,"refused":10,"failed":20,"worth":0.9},
	"classes":[{"name":"a","n":100,"failed":5,"worth":0.95},{"name":"b","n":200,"late":10,"refused":10,"failed":15,"worth":0.88}],
	"windows":[{"name":"0","n":100,"worth":1},{"name":"2","n":100,"late":10,"refused":10,"failed":20,"worth":0.6},{"name":"4","n":100,"worth":1}]}`

func TestBoundCountsRefusedAndLateRequestsAsServed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.json")
	assert.NilError(t, os.WriteFile(path, []byte(dayReport), 0o600))
	var out strings.Builder
	assert.NilError(t, writeAccount(&out, []string{path}))
	// Half of the losses are avoidable: whole day 0.95, windows (0.8 + 1) / 2, class b 0.88 +
	// 0.12*20/35; deductions 0.7*0.9 + 0.15*0.8 + 0.15*0.88 - 0.85 = 0.032.
	want := 0.7*0.95 + 0.15*0.9 + 0.15*math.Min(0.95, 0.88+0.12*20/35) - 0.032
	assert.Assert(t, math.Abs(want-0.910) < 0.0005)
	assert.Equal(t, out.String(), `| day | sent | late | refused | no answer | worth | bound |
| --- | --- | --- | --- | --- | --- | --- |
| **day** | 300 | 10 | 10 | 20 | 0.850 | 0.910 |
| from 2 s | 100 | 10 | 10 | 20 | 0.600 | 0.800 |
`)
}

func TestInvalidReportErrorNamesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.json")
	assert.NilError(t, os.WriteFile(path, []byte("{"), 0o600))
	assert.ErrorContains(t, writeAccount(&strings.Builder{}, []string{path}), "day.json")
}
