package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest frame, in bytes, without its length prefix.
const MaxFrame = 8 << 20

// lengthSize is the size of the length prefix, in bytes.
const lengthSize = 4

// Faults of a frame. A peer that sends such a frame is cut off.
var (
	ErrFrameSize = errors.New("wire: frame is larger than the limit")
	ErrFrameKind = errors.New("wire: unknown kind of frame")
	ErrFrameData = errors.New("wire: broken frame")
)

// AppendFrame writes f with its length prefix to buf.
func AppendFrame(buf *bytes.Buffer, f Frame) error {
	start := buf.Len()
	buf.Write(make([]byte, lengthSize))
	f.Header.Kind = f.Body.Kind()
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	if err := enc.EncodeMulti(&f.Header, f.Body); err != nil {
		buf.Truncate(start)
		return fmt.Errorf("wire: encode: %w", err)
	}
	size := buf.Len() - start - lengthSize
	if size > MaxFrame {
		buf.Truncate(start)
		return ErrFrameSize
	}
	binary.BigEndian.PutUint32(buf.Bytes()[start:], uint32(size))
	return nil
}

// ReadFrame reads one frame. Its size is checked before memory is taken.
func ReadFrame(r io.Reader) (Frame, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrame {
		return Frame{}, ErrFrameSize
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Frame{}, err
	}
	f, err := DecodeFrame(body.Bytes())
	f.size = int(size) + lengthSize
	return f, err
}

// DecodeFrame decodes a frame without its length prefix.
func DecodeFrame(raw []byte) (f Frame, err error) {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	rest := bytes.NewReader(raw)
	dec.Reset(rest)
	if err := dec.Decode(&f.Header); err != nil {
		return Frame{}, fmt.Errorf("%w: %w", ErrFrameData, err)
	}
	decode, ok := decoders[f.Header.Kind]
	if !ok {
		return Frame{}, ErrFrameKind
	}
	if f.Body, err = decode(dec); err != nil {
		return Frame{}, fmt.Errorf("%w: %w", ErrFrameData, err)
	}
	if rest.Len() > 0 {
		return Frame{}, ErrFrameData
	}
	return f, nil
}

var decoders = map[Kind]func(*msgpack.Decoder) (Message, error){
	KindHello:          decodeAs[Hello],
	KindHeartbeat:      decodeAs[Heartbeat],
	KindAgentHeartbeat: decodeAs[AgentHeartbeat],
	KindRoster:         decodeAs[Roster],
	KindConfig:         decodeAs[Config],
	KindTarget:         decodeAs[Target],
	KindStart:          decodeAs[Start],
	KindResult:         decodeAs[Result],
	KindCollect:        decodeAs[Collect],
	KindRecords:        decodeAs[Records],
	KindForward:        decodeAs[Forward],
	KindReply:          decodeAs[Reply],
	KindHandOver:       decodeAs[HandOver],
	KindAwait:          decodeAs[Await],
}

func decodeAs[T Message](dec *msgpack.Decoder) (Message, error) {
	var m T
	err := dec.Decode(&m)
	return m, err
}
