package task

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestObjectivesDerivedFromCriticalPath guards against objectives that do not follow the longest
// chain of dependent steps.
func TestObjectivesDerivedFromCriticalPath(t *testing.T) {
	j := Job{
		ObjectiveFactor: 1.5,
		ObjectiveSlack:  60 * time.Millisecond,
		Steps: []Step{
			{Count: 2, Estimate: 100 * time.Millisecond},
			{Count: 1, Estimate: 300 * time.Millisecond},
			{Count: 4, Estimate: 50 * time.Millisecond, DependsOn: []int{0}},
			{Count: 1, Estimate: 10 * time.Millisecond, DependsOn: []int{1, 2}},
		},
	}
	assert.Equal(t, j.CriticalPath(), 310*time.Millisecond)
	assert.Equal(t, j.Objective(), 525*time.Millisecond)
	assert.Equal(t, j.LateObjective(), 1575*time.Millisecond)
	assert.Equal(t, j.Tasks(), 8)
}

func TestFitsChecksEveryResource(t *testing.T) {
	room := Resources{CPU: 1000, MemoryMB: 64, GPU: 1}
	assert.Assert(t, Resources{CPU: 1000, MemoryMB: 64, GPU: 1}.Fits(room))
	assert.Assert(t, !Resources{CPU: 1001}.Fits(room))
	assert.Assert(t, !Resources{MemoryMB: 65}.Fits(room))
	assert.Assert(t, !Resources{GPU: 2}.Fits(room))
	assert.Equal(t, room.Plus(room).Minus(room), room)
}

func TestTaskAndEndNamesUnchanged(t *testing.T) {
	assert.Equal(t, ID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}.String(), "5c0e7a21d94b36f8.0.1.17")
	assert.Equal(t, EndLapsed.String(), "lapsed")
	assert.Equal(t, End(99).String(), "end-99")
}
