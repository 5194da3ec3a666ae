package peer

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/framing"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestDecodeArrayEncodedFrames guards against failing to decode the frames of LevelBase peers
// during an upgrade.
func TestDecodeArrayEncodedFrames(t *testing.T) {
	text, err := os.ReadFile("testdata/frames-array.golden")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	arrays := make(map[string][]byte)
	for k := 0; k+1 < len(lines); k += 2 {
		arrays[lines[k]], err = hex.DecodeString(lines[k+1])
		assert.NilError(t, err)
	}
	found := 0
	for _, g := range goldenFrames() {
		bytes, ok := arrays[g.name]
		if !ok {
			continue // not sent at LevelBase
		}
		found++
		f, err := DecodeFrame(bytes[framing.PrefixSize:])
		assert.NilError(t, err, g.name)
		assert.DeepEqual(t, f, g.frame)
	}
	assert.Equal(t, found, len(arrays))
}

// TestLevelBasePeerDecodesFrames guards against frames that LevelBase peers can't decode into their
// structs, which lack the new fields.
func TestLevelBasePeerDecodesFrames(t *testing.T) {
	for _, g := range append(goldenFrames(), goldenFrame{"most fields", fullFrame()}) {
		buf, err := AppendFrame(nil, g.frame)
		assert.NilError(t, err)
		var old arrayFrame
		assert.NilError(t, msgpack.Unmarshal(buf[framing.PrefixSize:], &old), g.name)
		assert.Equal(t, old.Stamp, g.frame.Stamp)
		assert.Equal(t, old.Seq, g.frame.Seq)
		assert.Equal(t, old.UsedReservation, g.frame.UsedReservation)
		assert.Equal(t, len(old.Starts), len(g.frame.Starts))
		for k, o := range g.frame.Starts {
			o.SpecKept, o.SpecAt = false, "" // never sent to LevelBase peers
			assert.Equal(t, old.Starts[k].order(), o)
		}
		assert.DeepEqual(t, old.Ended, g.frame.Ended)
		assert.DeepEqual(t, old.State, g.frame.State)
		assert.DeepEqual(t, old.RoomRequest, g.frame.RoomRequest)
		if h := g.frame.Hello; h != nil {
			assert.Equal(t, *old.Hello, arrayHello{Role: h.Role, Name: h.Name, Addr: h.Addr, Introduce: h.Introduce})
		}
	}
}

// TestDecodeFrameSkipsUnknownFields guards against rejecting frames of a later version that
// have additional fields.
func TestDecodeFrameSkipsUnknownFields(t *testing.T) {
	type laterHello struct {
		Name, Later string
	}
	type laterFrame struct {
		Seq   uint64
		Hello *laterHello
		Later []task.Resources
	}
	buf, err := framing.Append(nil, maxFrameBytes, framing.EncodeMaps,
		&laterFrame{Seq: 7, Hello: &laterHello{"edge-1", "x"}, Later: []task.Resources{{CPU: 1}}})
	assert.NilError(t, err)
	f, err := DecodeFrame(buf[framing.PrefixSize:])
	assert.NilError(t, err)
	assert.DeepEqual(t, f, &Frame{Seq: 7, Hello: &Hello{Name: "edge-1"}})
}

// TestDecodeFrameRejectsArrayOfWrongLength guards against decoding arrays into the wrong
// fields.
func TestDecodeFrameRejectsArrayOfWrongLength(t *testing.T) {
	for _, body := range [][]byte{{0x92, 1, 2}, {0x94, 1, 2, 3, 4}} {
		var needs task.Resources
		assert.ErrorContains(t, msgpack.Unmarshal(body, &needs), "number of fields")
		_, err := DecodeFrame(body)
		assert.ErrorContains(t, err, "number of fields")
	}
	var needs task.Resources
	assert.NilError(t, msgpack.Unmarshal([]byte{0x93, 1, 2, 3}, &needs))
	assert.Equal(t, needs, task.Resources{CPU: 1, MemoryMB: 2, GPU: 3})
}
