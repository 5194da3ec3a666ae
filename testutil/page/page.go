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

// metric is a row of a page that begins with a metric's name.
var metric = regexp.MustCompile("(?m)^\\| `(beaconpoint_[^`]+)`")

// CheckMetrics checks that the page has a row for each metric of the code and no other,
// and that the names are those of testdata/metrics.golden: operators rely on them.
func CheckMetrics(t *testing.T, path string, inCode []string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	assert.NilError(t, err)
	var inPage []string
	for _, m := range metric.FindAllStringSubmatch(string(raw), -1) {
		inPage = append(inPage, m[1])
	}
	slices.Sort(inCode)
	slices.Sort(inPage)
	golden.Assert(t, strings.Join(inCode, "\n")+"\n", "metrics.golden")
	assert.DeepEqual(t, inCode, inPage)
}
