// Package explain says from the log lines of all processes what became of a job. It
// relies on the kinds and fields that package event and the state machines' log.go
// files give their lines.
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

// maxLine is the longest line of a log that is read, in bytes.
const maxLine = 1 << 20

// ErrUnknownJob means that no line of the logs names the job. The command prints its
// text.
var ErrUnknownJob = errors.New("event: no line speaks of this job")

// Story is what the logs say about one job.
type Story struct {
	// Lines are those of the job, and those that explain them, in order of time.
	Lines []string
	// Sentence says what decided.
	Sentence string
}

// line is one line of a log.
type line struct {
	at     time.Time
	kind   event.Kind
	text   string
	node   string // what stands before the JSON, such as a host's name
	fields fields
}

// fields are the attributes of a line.
type fields map[string]any

// text returns an attribute as text, empty where the line has none.
func (f fields) text(key string) string {
	v, ok := f[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// number returns a number, zero where the line has none.
func (f fields) number(key string) float64 {
	n, _ := f[key].(float64)
	return n
}

// around is how long before and after the job's own lines other lines of its targets
// and entries may explain them.
const around = 500 * time.Millisecond

// causes are the kinds of other lines that may explain what became of a job.
var causes = map[event.Kind]bool{
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

// Job gathers what the logs say about a job, named by its id or by that of a
// request that submitted it. The error is ErrUnknownJob, or that of reading.
func Job(id string, logs ...[]byte) (Story, error) {
	var all []line
	for _, raw := range logs {
		if err := read(bytes.NewReader(raw), func(l line) { all = append(all, l) }); err != nil {
			return Story{}, err
		}
	}
	id = jobOf(id, all)
	var own, others []line
	for _, l := range all {
		switch {
		case strings.Contains(l.text, id):
			own = append(own, l)
		case causes[l.kind]:
			others = append(others, l)
		}
	}
	if len(own) == 0 {
		return Story{}, fmt.Errorf("%w: %s", ErrUnknownJob, id)
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(own, byTime)
	others = near(others, own)
	told := append(slices.Clone(own), others...)
	slices.SortStableFunc(told, byTime)
	story := Story{Sentence: sentence(id, own, others)}
	for _, l := range told {
		story.Lines = append(story.Lines, strings.TrimSpace(l.node+" "+l.text))
	}
	return story, nil
}

// jobOf returns the job that the request of this id submitted, or the id itself.
func jobOf(id string, lines []line) string {
	for _, l := range lines {
		if job := l.fields.text("job"); l.fields.text("request") == id && job != "" {
			return job
		}
	}
	return id
}

// read calls take with each line of a log that is JSON; other lines are passed over.
// What stands before the JSON names the process.
func read(r io.Reader, take func(line)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
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
		take(l)
	}
	return lines.Err()
}

// near keeps the lines about a target, agent or entry of the job, while it lasted.
func near(others, own []line) []line {
	names := make(map[string]bool)
	for _, l := range own {
		for _, key := range []string{"target", "agent", "entry"} {
			names[l.fields.text(key)] = true
		}
		names[process(l)] = true
	}
	delete(names, "")
	begin, end := own[0].at.Add(-around), own[len(own)-1].at.Add(around)
	return slices.DeleteFunc(others, func(l line) bool {
		if l.at.Before(begin) || l.at.After(end) {
			return true
		}
		return !names[l.fields.text("target")] && !names[l.fields.text("agent")] &&
			!names[l.fields.text("entry")] && !names[process(l)]
	})
}

// process returns the name of the process that wrote the line, where it is
// known.
func process(l line) string {
	if name := l.fields.text("node"); name != "" {
		return name
	}
	words := strings.Fields(l.node)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// sentence says what decided about the job.
func sentence(id string, own, others []line) string {
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
		inTime := f.text("kind") == "1" && f.number("age_ms") <= f.number("objective_ms")
		if because := because(own, others); because != "" && !inTime {
			text += "; " + because
		}
		return text + "."
	}
	if cancelled := last(event.JobCancelled); cancelled != nil {
		age := cancelled.fields.number("age_ms")
		text := fmt.Sprintf("%s was cancelled after %.0f ms: its caller had gone", id, age)
		if because := because(own, others); because != "" {
			text += "; " + because
		}
		return text + "."
	}
	if lost := last(event.TaskPlaced); lost != nil {
		return fmt.Sprintf("%s has no answer: its entry ended while tasks of it ran.", id)
	}
	return fmt.Sprintf("%s has no answer, and no task of it was placed.", id)
}

// because says what kept the job's runs from ending with success, the most frequent
// cause first, or that it waited. Empty means that nothing did.
func because(own, others []line) string {
	counts := make(map[string]int)
	var waited float64
	for _, l := range own {
		switch l.kind {
		case event.TaskMoved, event.TaskWaits:
			counts[l.fields.text("why")+" at "+l.fields.text("agent")]++
		case event.StartUnanswered:
			counts["a start without an answer at "+process(l)]++
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
		if accepted := first(own, event.JobAccepted); accepted != nil {
			return fmt.Sprintf("it found no room; %.0f jobs waited when it came", accepted.fields.number("waiting"))
		}
		return ""
	}
	text := strings.Join(parts, ", ")
	if waited > 0 {
		text = strings.TrimPrefix(text+fmt.Sprintf("; a task was last placed when %.0f ms had passed", waited), "; ")
	}
	return text
}

// first returns the first line of a kind, or nil.
func first(lines []line, kind event.Kind) *line {
	for k := range lines {
		if lines[k].kind == kind {
			return &lines[k]
		}
	}
	return nil
}
