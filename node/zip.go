package node

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"

	"github.com/beaconpoint/beaconpoint/peer"
)

// maxDocument bounds a document, in bytes; the platform's store takes no larger one.
const maxDocument = 4 << 20

// errDocumentSize means that a document is larger than maxDocument.
var errDocumentSize = errors.New("node: the document is too large")

// document is a configuration as the operator wrote it, in one or both of its forms. It is
// used under the lock of its process.
type document struct {
	plain, zipped []byte
}

// documentOf returns the document of a frame, empty where it has none.
func documentOf(f *peer.Frame) document {
	return document{plain: f.Document, zipped: f.DocumentZip}
}

// empty reports whether there is no document.
func (d *document) empty() bool {
	return len(d.plain) == 0 && len(d.zipped) == 0
}

// text returns the document as it was written. The error is that of decompression.
func (d *document) text() ([]byte, error) {
	if len(d.plain) > 0 {
		return d.plain, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(d.zipped))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDocument {
		return nil, errDocumentSize
	}
	return plain, nil
}

// zip returns the document compressed, and remembers it so. The error is that of
// compression.
func (d *document) zip() ([]byte, error) {
	if len(d.zipped) > 0 {
		return d.zipped, nil
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
	d.zipped = out.Bytes()
	return d.zipped, nil
}

// frame returns a frame that hands the document to a peer of a level.
func (d *document) frame(level peer.Level) (*peer.Frame, error) {
	if level >= peer.LevelRelay {
		zipped, err := d.zip()
		return &peer.Frame{DocumentZip: zipped}, err
	}
	plain, err := d.text()
	return &peer.Frame{Document: plain}, err
}
