package policy

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Fails when the mean response is more than 5% above the central queue's or no
// better than first come first served, or when messages are wasted.
func TestResponseStaysNearCentralQueue(t *testing.T) {
	rows := Compare(Systems(), []float64{0.8}, DefaultWorkload(400, 1))
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, rows))
	standard, central, firstCome := rows[0], rows[1], rows[2]
	assert.Equal(t, standard.Unanswered, 0, "\n%s", &table)
	assert.Assert(t, standard.Mean() <= 1.05*central.Mean(), "\n%s", &table)
	assert.Assert(t, standard.Mean() < firstCome.Mean(), "\n%s", &table)
	assert.Assert(t, standard.WastedPerStart() <= 0.02, "\n%s", &table)
}

// Fails when a job gets no answer after a target slows down or fails.
func TestTargetFaultsLoseNoJob(t *testing.T) {
	rows := Compare(Troubles(30*time.Second), []float64{0.5}, DefaultWorkload(150, 1))
	_ = WriteTable(os.Stdout, rows)
	for _, r := range rows {
		assert.Equal(t, r.Unanswered, 0, r.Name)
	}
}

// Fails when overload wastes slots on jobs that do not complete in time, or the
// advised retry delay causes as many refusals as a fixed one.
func TestOverloadKeepsGoodput(t *testing.T) {
	rows := Compare(Overloads(), []float64{2, 5}, DefaultWorkload(1500, 3))
	var table bytes.Buffer
	assert.NilError(t, WriteOverload(&table, rows))
	for k := 0; k < len(rows); k += 2 {
		advised, fixed := rows[k], rows[k+1]
		assert.Assert(t, advised.Goodput(targets*slots) >= 0.95, "\n%s", &table)
		assert.Assert(t, advised.Refusals < fixed.Refusals, "\n%s", &table)
		assert.Equal(t, advised.Unanswered, 0)
	}
}

// Fails when an organisation that floods the service with small jobs takes the
// slots of another organisation.
func TestFloodDoesNotStarveOtherOrganisation(t *testing.T) {
	w := DefaultWorkload(300, 3)
	rows := Compare(Floods(w), []float64{0.3}, w)
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, rows))
	alone, beside := rows[0], rows[1]
	assert.Equal(t, beside.Unanswered, 0, "\n%s", &table)
	assert.Assert(t, beside.Mean() <= 1.3*alone.Mean(), "\n%s", &table)
	assert.Assert(t, beside.Quantile(99) <= 3*alone.Quantile(99), "\n%s", &table)
}
