package framing

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAppendReadRoundTrip(t *testing.T) {
	buf, err := Append([]byte("before"), 100, EncodeArrays, "one", 2)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:6]), "before")
	body, err := Read(bytes.NewReader(buf[6:]), 100)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "\xa3one\x02")
}

func TestFrameOverLimitIsRejected(t *testing.T) {
	buf, err := Append([]byte("before"), 4, EncodeArrays, "long text")
	assert.ErrorIs(t, err, ErrSize)
	assert.Equal(t, string(buf), "before")
	_, err = Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}), 4)
	assert.ErrorIs(t, err, ErrSize)
}
