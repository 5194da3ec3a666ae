package explain

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExplainGathersAcrossProcesses(t *testing.T) {
	entry, err := os.ReadFile("testdata/entry.log")
	assert.NilError(t, err)
	agent, err := os.ReadFile("testdata/agent.log")
	assert.NilError(t, err)
	want, err := os.ReadFile("testdata/story.txt")
	assert.NilError(t, err)
	for _, id := range []string{"5c0e7a21d94b36f8", "of-the-request"} {
		story, err := Job(id, entry, agent)
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(story.Lines, "\n")+"\n"+story.Sentence+"\n", string(want))
	}
}

func TestExplainKnowsNoOtherJob(t *testing.T) {
	_, err := Job("00", []byte("no JSON\n{\"msg\":\"start\"}\n"))
	assert.ErrorIs(t, err, ErrUnknownJob)
}
