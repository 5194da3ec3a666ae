package roster

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against changes to the encoding of the roster in the store.
func TestStoredRosterMatchesGolden(t *testing.T) {
	id := ID{Name: "entry1", Incarnation: 7}
	raw, err := json.MarshalIndent(Roster{
		Revision:   3,
		Seats:      []Seat{{ID: id, Addr: "127.0.0.1:7101", Leaving: true}, {ID: id}},
		Agents:     []ID{{Name: "agent1", Incarnation: 8}},
		Shards:     2,
		LostSeats:  []Loss{{ID: id, At: 5}},
		LostAgents: []Loss{{ID: id, At: 6}},
		Changes:    []string{"c-1"},
	}, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "roster.golden")
}
