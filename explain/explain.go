// Package explain explains the outcome of a job from the logs of all processes. It relies
// on the kinds in package event and on the attributes set in the log.go files of packages
// owner and supervisor; the attribute kind of an answer is the number of an owner.Kind.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// ErrUnknownJob is returned if no log line mentions the job.
var ErrUnknownJob = errors.New("explain: no log line mentions this job")

// Explanation is the history of a job in the logs.
type Explanation struct {
	// Lines are the lines of the job and the related lines of its processes, sorted by
	// time.
	Lines []string
	// Summary explains the outcome.
	Summary string
}

// line is a parsed log line.
type line struct {
	at     time.Time
	kind   event.Kind
	text   string
	node   string // prefix before the JSON, such as a host name
	fields fields
}

// fields are the attributes of a line.
type fields map[string]any

// text formats an attribute, or returns an empty string if it is missing.
func (f fields) text(key string) string {
	v, ok := f[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// number returns a numeric attribute, or zero if it is missing.
func (f fields) number(key string) float64 {
	n, _ := f[key].(float64)
	return n
}

// contextWindow is the time before the first and after the last line of a job in which
// related lines are included.
const contextWindow = 500 * time.Millisecond

// contextKinds are the kinds of lines that may explain the outcome of a job without naming
// it.
var contextKinds = map[event.Kind]bool{
	event.Start:                 true,
	event.Stopping:              true,
	event.StoreLost:             true,
	event.LinesDropped:          true,
	event.AgentLost:             true,
	event.EntryLost:             true,
	event.AgentTargetEjected:    true,
	event.TargetHealth:          true,
	event.TargetIncarnation:     true,
	event.TargetIncarnationOver: true,
	event.TargetDraining:        true,
	event.HallsEvacuated:        true,
	event.TargetEvacuated:       true,
	event.TargetCold:            true,
}

// Job explains the outcome of a job, given its ID or the ID of a request that submitted
// it. It returns ErrUnknownJob if no line mentions the job.
func Job(id string, logs ...[]byte) (Explanation, error) {
	var all []line
	for _, raw := range logs {
		if err := scanLines(bytes.NewReader(raw), func(l line) { all = append(all, l) }); err != nil {
			return Explanation{}, err
		}
	}
	id = resolveJobID(id, all)
	var own, others []line
	for _, l := range all {
		switch {
		case strings.Contains(l.text, id):
			own = append(own, l)
		case contextKinds[l.kind]:
			others = append(others, l)
		}
	}
	if len(own) == 0 {
		return Explanation{}, fmt.Errorf("%w: %s", ErrUnknownJob, id)
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(own, byTime)
	others = filterRelated(others, own)
	selected := append(slices.Clone(own), others...)
	slices.SortStableFunc(selected, byTime)
	explanation := Explanation{Summary: summarize(id, own, others)}
	for _, l := range selected {
		explanation.Lines = append(explanation.Lines, strings.TrimSpace(l.node+" "+l.text))
	}
	return explanation, nil
}

// resolveJobID returns the ID of the job that the request with this ID submitted, or id if
// there is none.
func resolveJobID(id string, lines []line) string {
	for _, l := range lines {
		if job := l.fields.text("job"); l.fields.text("request") == id && job != "" {
			return job
		}
	}
	return id
}

// scanLines calls visit for each JSON line of a log. Other lines are skipped. Text before
// the JSON identifies the process.
func scanLines(r io.Reader, visit func(line)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		before, body, ok := strings.Cut(lines.Text(), "{")
		if !ok {
			continue
		}
		l := line{text: "{" + body, node: strings.TrimSpace(before)}
		if json.Unmarshal([]byte(l.text), &l.fields) != nil {
			continue
		}
		l.kind = l.fields.text("msg")
		l.at, _ = time.Parse(time.RFC3339Nano, l.fields.text("time"))
		visit(l)
	}
	return lines.Err()
}

// filterRelated returns the lines of others that concern a target, agent or entry of the
// job and were logged at most contextWindow before the first or after the last line in own,
// which is sorted by time. It modifies others.
func filterRelated(others, own []line) []line {
	names := make(map[string]bool)
	for _, l := range own {
		for _, key := range []string{"target", "agent", "entry"} {
			names[l.fields.text(key)] = true
		}
		names[processName(l)] = true
	}
	delete(names, "")
	begin, end := own[0].at.Add(-contextWindow), own[len(own)-1].at.Add(contextWindow)
	return slices.DeleteFunc(others, func(l line) bool {
		if l.at.Before(begin) || l.at.After(end) {
			return true
		}
		return !names[l.fields.text("target")] && !names[l.fields.text("agent")] &&
			!names[l.fields.text("entry")] && !names[processName(l)]
	})
}

// processName returns the name of the process that logged the line, or an empty string if
// it is unknown.
func processName(l line) string {
	if name := l.fields.text("node"); name != "" {
		return name
	}
	words := strings.Fields(l.node)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// summarize returns a sentence that explains the outcome of the job.
func summarize(id string, own, others []line) string {
	last := func(kind event.Kind) *line {
		for k := len(own) - 1; k >= 0; k-- {
			if own[k].kind == kind {
				return &own[k]
			}
		}
		return nil
	}
	if answer := last(event.JobAnswered); answer != nil {
		f := answer.fields
		text := fmt.Sprintf("%s was answered after %.0f ms (objective %.0f ms): %s",
			id, f.number("age_ms"), f.number("objective_ms"), f.text("why"))
		// Kind 1 is owner.Completed.
		inTime := f.text("kind") == "1" && f.number("age_ms") <= f.number("objective_ms")
		if causes := describeCauses(own, others); causes != "" && !inTime {
			text += "; " + causes
		}
		return text + "."
	}
	if cancelled := last(event.JobCancelled); cancelled != nil {
		age := cancelled.fields.number("age_ms")
		text := fmt.Sprintf("%s was cancelled after %.0f ms: no caller waited for it", id, age)
		if causes := describeCauses(own, others); causes != "" {
			text += "; " + causes
		}
		return text + "."
	}
	if placed := last(event.TaskPlaced); placed != nil {
		return fmt.Sprintf("%s has no answer in these logs; at least one of its tasks was placed.", id)
	}
	return fmt.Sprintf("%s has no answer in these logs, and none of its tasks was placed.", id)
}

// describeCauses lists the most frequent reasons why runs of the job were delayed or did
// not succeed. If there are none, it returns the number of jobs that were waiting when the
// job was accepted, or an empty string if the logs do not contain it.
func describeCauses(own, others []line) string {
	counts := make(map[string]int)
	var waited float64
	for _, l := range own {
		switch l.kind {
		case event.TaskMoved, event.TaskWaits:
			counts[l.fields.text("why")+" at "+l.fields.text("agent")]++
		case event.StartUnanswered:
			counts["a start without a response at "+processName(l)]++
		case event.TaskPlaced:
			waited = max(waited, l.fields.number("waited_ms"))
		}
	}
	for _, l := range others {
		if l.kind == event.AgentLost {
			counts["the agent "+l.fields.text("agent")+" was lost"]++
		}
	}
	parts := make([]string, 0, len(counts))
	for cause := range counts {
		parts = append(parts, cause)
	}
	slices.SortFunc(parts, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
	if len(parts) > 3 {
		parts = parts[:3]
	}
	if len(parts) == 0 && waited == 0 {
		if accepted := firstOfKind(own, event.JobAccepted); accepted != nil {
			return fmt.Sprintf("no cause is logged; %.0f jobs were waiting when it was accepted",
				accepted.fields.number("waiting"))
		}
		return ""
	}
	text := strings.Join(parts, ", ")
	if waited > 0 {
		text = strings.TrimPrefix(text+fmt.Sprintf("; the last task was placed after %.0f ms", waited), "; ")
	}
	return text
}

// firstOfKind returns the first line of a kind, or nil.
func firstOfKind(lines []line, kind event.Kind) *line {
	for k := range lines {
		if lines[k].kind == kind {
			return &lines[k]
		}
	}
	return nil
}
