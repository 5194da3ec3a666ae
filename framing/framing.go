// Package framing writes and reads frames: a length prefix of four bytes, big endian,
// and values in msgpack. It owns no state; packages peer and seats/wire say what the
// values are.
package framing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// PrefixSize is the size of the length prefix, in bytes.
const PrefixSize = 4

// ErrSize means that a frame is larger than its limit.
var ErrSize = errors.New("framing: frame is larger than the limit")

// Form is how structs are encoded.
type Form bool

// Forms.
const (
	// Arrays holds each field, in order: short, but a struct can't get another field.
	Arrays Form = false
	// Maps holds the names of the fields and those that are not empty.
	Maps Form = true
)

// Append appends a frame of the values to buf. limit bounds its size in bytes, without
// the prefix. After an error buf is as it was.
func Append(buf []byte, limit int, form Form, values ...any) ([]byte, error) {
	w := &sliceWriter{data: append(buf, make([]byte, PrefixSize)...)}
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(form == Arrays)
	enc.SetOmitEmpty(form == Maps)
	if err := enc.EncodeMulti(values...); err != nil {
		return buf, fmt.Errorf("framing: encode: %w", err)
	}
	size := len(w.data) - len(buf) - PrefixSize
	if size > limit {
		return buf, ErrSize
	}
	binary.BigEndian.PutUint32(w.data[len(buf):], uint32(size))
	return w.data, nil
}

// Read reads one frame and returns it without its prefix. Its size is checked before
// memory is allocated. The error is ErrSize or that of reading.
func Read(r io.Reader, limit int) ([]byte, error) {
	var prefix [PrefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if int64(size) > int64(limit) {
		return nil, ErrSize
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// sliceWriter appends what is written to a slice.
type sliceWriter struct{ data []byte }

// Write implements io.Writer.
func (w *sliceWriter) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter.
func (w *sliceWriter) WriteByte(b byte) error {
	w.data = append(w.data, b)
	return nil
}
