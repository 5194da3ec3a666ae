package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against changes to the encoding of messages.
func TestMessageEncodingMatchesGolden(t *testing.T) {
	var out strings.Builder
	for _, m := range samples() {
		if f, ok := m.(Forward); ok {
			at := f.Submission.Job.ExpiresAt.UTC() // the encoding of a time has no zone
			f.Submission.Job.ExpiresAt = &at
		}
		var buf bytes.Buffer
		header := Header{Seq: 70000, Revision: 3, Config: 4, Stamp: 1 << 40, Echo: -5}
		assert.NilError(t, AppendFrame(&buf, Frame{Header: header, Body: m}))
		fmt.Fprintf(&out, "%d\n%s\n", m.Kind(), hex.EncodeToString(buf.Bytes()))
	}
	golden.Assert(t, out.String(), "messages.golden")
}
