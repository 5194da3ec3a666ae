package explain

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestJobMergesLogsOfAllProcesses guards against missing or unsorted lines and a wrong summary, for
// the ID of a job and of its request.
func TestJobMergesLogsOfAllProcesses(t *testing.T) {
	entry, err := os.ReadFile("testdata/entry.log")
	assert.NilError(t, err)
	agent, err := os.ReadFile("testdata/agent.log")
	assert.NilError(t, err)
	want, err := os.ReadFile("testdata/story.txt")
	assert.NilError(t, err)
	for _, id := range []string{"5c0e7a21d94b36f8", "of-the-request"} {
		explanation, err := Job(id, entry, agent)
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(explanation.Lines, "\n")+"\n"+explanation.Summary+"\n", string(want))
	}
}

func TestJobReturnsErrorForUnknownID(t *testing.T) {
	_, err := Job("00", []byte("no JSON\n{\"msg\":\"start\"}\n"))
	assert.ErrorIs(t, err, ErrUnknownJob)
}

// TestJobNamesEvacuationAsCause guards against an explanation that does not name an
// evacuation as the cause of a rejected order and a refused job.
func TestJobNamesEvacuationAsCause(t *testing.T) {
	entry := []byte(`{"time":"2026-01-01T00:00:01Z","msg":"job-accepted","node":"edge","job":"aa"}
{"time":"2026-01-01T00:00:01.1Z","msg":"halls-evacuated","node":"edge","halls":["mtm"],"from":"store"}
{"time":"2026-01-01T00:00:01.2Z","msg":"task-waits","node":"edge","task":"aa.0.0.0","agent":"side-1","end":"rejected","why":"719 run-hall-evacuated"}
{"time":"2026-01-01T00:00:01.3Z","msg":"job-answered","node":"edge","job":"aa","kind":4,"why":"813 job-evacuated","age_ms":300,"objective_ms":200}
`)
	explanation, err := Job("aa", entry)
	assert.NilError(t, err)
	assert.Equal(t, len(explanation.Lines), 4)
	assert.Equal(t, explanation.Summary,
		"aa was answered after 300 ms (objective 200 ms): 813 job-evacuated; 719 run-hall-evacuated at side-1.")
}
