// Package framing writes and reads frames: a length prefix of four bytes, big endian, followed by
// msgpack values. Append encodes the values; Read returns them encoded, and its caller decodes
// them. Packages peer and seats/wire define the values.
package framing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// PrefixSize is the size of the length prefix in bytes.
const PrefixSize = 4

// ErrSize is returned for frames larger than the limit.
var ErrSize = errors.New("framing: frame is larger than the limit")

// StructEncoding is an encoding of structs.
type StructEncoding bool

const (
	// EncodeArrays encodes a struct as an array of all fields in order. The encoding is compact, but
	// does not allow fields to be added.
	EncodeArrays StructEncoding = false
	// EncodeMaps encodes a struct as a map from field names to the values of non-empty fields.
	EncodeMaps StructEncoding = true
)

// Append appends a frame with the values to buf. limit is the maximum size in bytes without the
// prefix; for a larger frame Append returns ErrSize. On error it returns buf unchanged.
func Append(buf []byte, limit int, encoding StructEncoding, values ...any) ([]byte, error) {
	w := &sliceWriter{data: append(buf, make([]byte, PrefixSize)...)}
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(encoding == EncodeArrays)
	enc.SetOmitEmpty(encoding == EncodeMaps)
	if err := enc.EncodeMulti(values...); err != nil {
		return buf, fmt.Errorf("framing: encode frame: %w", err)
	}
	size := len(w.data) - len(buf) - PrefixSize
	if size > limit {
		return buf, ErrSize
	}
	binary.BigEndian.PutUint32(w.data[len(buf):], uint32(size))
	return w.data, nil
}

// Read reads one frame and returns it without its prefix. It checks the size before allocating
// memory. It returns ErrSize if the size exceeds limit, otherwise the error of the reader.
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

// sliceWriter is an io.Writer that appends to a slice.
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
