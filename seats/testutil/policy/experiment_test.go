package policy

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The figures of a seed are the same on every machine, so they are compared as
// they are.
func TestOrderDecidesAndNothingIsWasted(t *testing.T) {
	rows := Compare(Systems(), []float64{0.8}, DefaultWorkload(400, 1))
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, rows))
	ours, knowing, firstCome := rows[0], rows[1], rows[2]
	assert.Equal(t, ours.Unanswered, 0, "\n%s", &table)
	assert.Assert(t, ours.Mean() <= 1.05*knowing.Mean(), "\n%s", &table)
	assert.Assert(t, ours.Mean() < firstCome.Mean(), "\n%s", &table)
	assert.Assert(t, ours.WastedPerStart() <= 0.02, "\n%s", &table)
}

func TestTroublesLoseNoJob(t *testing.T) {
	rows := Compare(Troubles(30*time.Second), []float64{0.5}, DefaultWorkload(150, 1))
	_ = WriteTable(os.Stdout, rows)
	for _, r := range rows {
		assert.Equal(t, r.Unanswered, 0, r.Name)
	}
}

// Under overload most slots go into jobs that end in time, and callers that come
// back when told meet fewer refusals than those that wait a fixed time.
func TestOverloadKeepsGoodput(t *testing.T) {
	rows := Compare(Overloads(), []float64{2, 5}, DefaultWorkload(1500, 3))
	var table bytes.Buffer
	assert.NilError(t, WriteOverload(&table, rows))
	for k := 0; k < len(rows); k += 2 {
		obeying, fixed := rows[k], rows[k+1]
		assert.Assert(t, obeying.Goodput(targets*slots) >= 0.95, "\n%s", &table)
		assert.Assert(t, obeying.Refusals < fixed.Refusals, "\n%s", &table)
		assert.Equal(t, obeying.Unanswered, 0)
	}
}

// An organisation that floods with jobs that the order prefers leaves a quiet one its
// share of the slots.
func TestFloodLeavesAQuietOrganisationItsShare(t *testing.T) {
	w := DefaultWorkload(300, 3)
	rows := Compare(Floods(w), []float64{0.3}, w)
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, rows))
	alone, beside := rows[0], rows[1]
	assert.Equal(t, beside.Unanswered, 0, "\n%s", &table)
	assert.Assert(t, beside.Mean() <= 1.3*alone.Mean(), "\n%s", &table)
	assert.Assert(t, beside.Quantile(99) <= 3*alone.Quantile(99), "\n%s", &table)
}
