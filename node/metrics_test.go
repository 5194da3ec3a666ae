package node

import (
	"bytes"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/testutil/page"
)

// metricNames returns the names of the metrics in a set. A histogram appears once, under its
// base name.
func metricNames(set *metrics.Set) []string {
	var out bytes.Buffer
	set.WritePrometheus(&out)
	found := make(map[string]bool)
	for line := range strings.Lines(out.String()) {
		name := line[:strings.LastIndexByte(line, ' ')]
		base, labels, _ := strings.Cut(name, "{")
		if strings.HasSuffix(base, "_sum") || strings.HasSuffix(base, "_count") {
			continue
		}
		if histogram, ok := strings.CutSuffix(base, "_bucket"); ok {
			labels = vmrange.ReplaceAllString(labels, "")
			name = histogram
			if labels != "}" {
				name += "{" + labels
			}
		}
		found[name] = true
	}
	var list []string
	for name := range found {
		list = append(list, name)
	}
	return list
}

// vmrange matches the bucket label of a histogram.
var vmrange = regexp.MustCompile(`,?vmrange="[^"]*"`)

// TestMetricsPageMatchesCode guards against metrics that the page lacks, and against a page that
// describes others.
func TestMetricsPageMatchesCode(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	e := NewEntry(settings.DefaultNode(), Directory{}, ConfigSource{}, log)
	e.submitted.UpdateDuration(time.Now())
	a := NewAgent(settings.DefaultNode(), Directory{}, TargetCalls{}, log)
	a.startSeconds.UpdateDuration(time.Now())
	a.renewSeconds.UpdateDuration(time.Now())
	a.renewSecondsDeprecated.UpdateDuration(time.Now())
	for _, h := range []map[stage.Stage]*metrics.Histogram{e.stages, a.stages} {
		for _, one := range h {
			one.Update(1)
		}
	}
	inCode := append(metricNames(e.metrics), metricNames(a.metrics)...)
	page.CheckMetrics(t, "../docs/metrics-node.md", inCode)
}
