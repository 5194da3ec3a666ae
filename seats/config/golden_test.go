package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against changes to the encoding of the configuration in the store.
func TestStoredDocumentMatchesGolden(t *testing.T) {
	raw, err := json.MarshalIndent(Document{
		Revision: 7,
		Services: []Service{{
			Name:    "trackd",
			Targets: []Target{{Name: "agent1", Agent: "127.0.0.1:7101", Hall: "mtm", Slots: 8, Connections: 64, Drained: true}, {Name: "agent2"}},
			Bounds:  Bounds{Queue: 1, LargestJob: 2, LongestExpiryMS: 3},
		}},
		Organisations: []Organisation{{Name: "port-gate", InFlight: 4, Rate: 5}, {Name: "b"}},
		Shards:        2,
		History:       []Line{{Change: "c-1", Revision: 7, By: "chief", At: "2026-05-04T03:02:01Z", Summary: "a change"}},
	}, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "document.golden")
}
