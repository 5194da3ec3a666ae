package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/beaconpoint/beaconpoint/framing"
)

// MaxFrame is the largest frame, in bytes, without its length prefix.
const MaxFrame = 8 << 20

// Errors of ReadFrame and DecodeFrame. The connection to a peer that sends such a
// frame is closed.
var (
	ErrFrameSize = framing.ErrSize
	ErrFrameKind = errors.New("wire: unknown frame kind")
	ErrFrameData = errors.New("wire: malformed frame")
)

// AppendFrame appends f with its length prefix to buf.
func AppendFrame(buf *bytes.Buffer, f Frame) error {
	f.Header.Kind = f.Body.Kind()
	raw, err := framing.Append(buf.AvailableBuffer(), MaxFrame, framing.EncodeArrays, &f.Header, f.Body)
	if err != nil {
		return err
	}
	buf.Write(raw)
	return nil
}

// ReadFrame reads one frame. It checks the size before it allocates memory.
func ReadFrame(r io.Reader) (Frame, error) {
	body, err := framing.Read(r, MaxFrame)
	if err != nil {
		return Frame{}, err
	}
	f, err := DecodeFrame(body)
	f.size = len(body) + framing.PrefixSize
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
