package node

import (
	"bytes"
	"compress/gzip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
)

// TestForwardedDocumentIsUnchanged guards against changes to a document that peers of different
// protocol levels forward, and against sending it uncompressed to peers that support compression.
func TestForwardedDocumentIsUnchanged(t *testing.T) {
	text := bytes.Repeat([]byte(`{"route":"nony24.example"}`), 4000)
	for _, first := range []peer.ProtocolLevel{peer.LevelBase, peer.LevelNewest} {
		for _, second := range []peer.ProtocolLevel{peer.LevelBase, peer.LevelNewest} {
			own := document{plain: text}
			f, err := own.frame(first)
			assert.NilError(t, err)
			forwarded := documentOf(f)
			f, err = forwarded.frame(second)
			assert.NilError(t, err)
			if second >= peer.LevelRelay {
				assert.Equal(t, len(f.Document), 0)
				assert.Assert(t, len(f.DocumentZip) < len(text)/20)
			}
			last := documentOf(f)
			got, err := last.text()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, text))
		}
	}
}

// TestInvalidDocumentIsRejected guards against accepting data that is not gzip, or that expands
// beyond maxDocumentBytes.
func TestInvalidDocumentIsRejected(t *testing.T) {
	d := document{gzipped: []byte("this is not compressed at all")}
	_, err := d.text()
	assert.ErrorIs(t, err, gzip.ErrHeader)
	huge := document{plain: make([]byte, maxDocumentBytes+1)}
	zipped, err := huge.compress()
	assert.NilError(t, err)
	d = document{gzipped: zipped}
	_, err = d.text()
	assert.ErrorIs(t, err, errDocumentTooLarge)
}

// TestDocumentsUseShareOfLink guards against documents saturating a narrow link: they may use a
// quarter of it.
func TestDocumentsUseShareOfLink(t *testing.T) {
	var p documentPacer
	const size, megabits = 25_000, 2 // 0.1 s at the full rate of the link
	assert.Assert(t, p.take(0, size, megabits))
	assert.Assert(t, !p.take(p.freeAt-1, size, megabits))
	assert.Equal(t, p.freeAt.Milliseconds(), int64(400))
}
