package code

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestResultCodesPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../docs/result-codes.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Markdown())
}

func TestTableIsSortedWithUniqueNames(t *testing.T) {
	names := make(map[string]bool)
	for k, e := range Table {
		assert.Assert(t, k == 0 || e.Code > Table[k-1].Code, e.Name)
		assert.Assert(t, !names[e.Name], e.Name)
		names[e.Name] = true
	}
}

func TestOfReturnsCodeOfError(t *testing.T) {
	assert.Equal(t, Of(Errorf(Conflict, "job %s", "a"), OK), Conflict)
	assert.Equal(t, Of(os.ErrNotExist, BadJSON), BadJSON)
}
