package node

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"

	"github.com/beaconpoint/beaconpoint/peer"
)

// maxDocumentBytes is the maximum size of a decompressed document. A plain document of this size
// does not fit into a frame of package peer.
const maxDocumentBytes = 4 << 20

// errDocumentTooLarge is returned for compressed documents that expand beyond maxDocumentBytes.
var errDocumentTooLarge = errors.New("node: decompressed configuration document exceeds the size limit")

// document is a configuration document as the operator wrote it, plain, compressed with gzip,
// or both. The document in force is guarded by the lock of the Entry or Agent.
type document struct {
	plain, gzipped []byte
}

// documentOf returns the document in a frame, empty if there is none.
func documentOf(f *peer.Frame) document {
	return document{plain: f.Document, gzipped: f.DocumentZip}
}

func (d *document) empty() bool {
	return len(d.plain) == 0 && len(d.gzipped) == 0
}

// text returns the plain document, decompressing it if needed.
func (d *document) text() ([]byte, error) {
	if len(d.plain) > 0 {
		return d.plain, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(d.gzipped))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDocumentBytes {
		return nil, errDocumentTooLarge
	}
	return plain, nil
}

// compress returns the document compressed with gzip and caches the result.
func (d *document) compress() ([]byte, error) {
	if len(d.gzipped) > 0 {
		return d.gzipped, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(d.plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	d.gzipped = out.Bytes()
	return d.gzipped, nil
}

// frame returns a frame with the document, compressed if the peer's protocol level supports it.
func (d *document) frame(level peer.ProtocolLevel) (*peer.Frame, error) {
	if level >= peer.LevelRelay {
		gzipped, err := d.compress()
		return &peer.Frame{DocumentZip: gzipped}, err
	}
	plain, err := d.text()
	return &peer.Frame{Document: plain}, err
}
