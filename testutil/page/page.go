// Package page compares pages of the documentation with the code.
package page

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// metricRow matches a table row that begins with the name of a metric.
var metricRow = regexp.MustCompile("(?m)^\\| `(beaconpoint_[^`]+)`")

// CheckMetrics checks that the page at path has a table row for each metric in the code and no
// others, and that the names match testdata/metrics.golden, as monitoring depends on them. It
// sorts inCode.
func CheckMetrics(t *testing.T, path string, inCode []string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	assert.NilError(t, err)
	var inPage []string
	for _, m := range metricRow.FindAllStringSubmatch(string(raw), -1) {
		inPage = append(inPage, m[1])
	}
	slices.Sort(inCode)
	slices.Sort(inPage)
	golden.Assert(t, strings.Join(inCode, "\n")+"\n", "metrics.golden")
	assert.DeepEqual(t, inCode, inPage)
}
