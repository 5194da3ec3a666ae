package job

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
)

func TestDigestIgnoresWhitespaceAndTimeZone(t *testing.T) {
	a, err := Parse("s", []byte(`{"id":"a","member":"m","expires_at":"2026-01-01T00:00:00Z","tasks":[{"id":"t","payload":{"x":1}}]}`))
	assert.NilError(t, err)
	b, err := Parse("s", []byte(`{"id":"a", "member":"m", "expires_at":"2026-01-01T01:00:00+01:00", "tasks":[{"id":"t","payload": {"x": 1}}]}`))
	assert.NilError(t, err)
	assert.Equal(t, a.Digest, b.Digest)
	other, err := Parse("other", []byte(`{"id":"a","member":"m","expires_at":"2026-01-01T00:00:00Z","tasks":[{"id":"t","payload":{"x":1}}]}`))
	assert.NilError(t, err)
	assert.Assert(t, a.Digest != other.Digest)
}

func TestDataAfterJobIsRejected(t *testing.T) {
	_, err := Parse("s", []byte(`{"id":"a","member":"m","tasks":[{"id":"t"}]} {}`))
	assert.Equal(t, code.Of(err, code.OK), code.BadJSON)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":"a","member":"m","expires_at":"2026-01-01T00:00:00Z","tasks":[{"id":"t","payload":{"x":1},"expected_ms":5}]}`))
	f.Add([]byte(`{"id":"","tasks":[]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("s", raw)
		if err != nil {
			assert.Assert(t, code.Of(err, code.OK) != code.OK)
			return
		}
		assert.Assert(t, ValidID(s.Job.ID) && len(s.Job.Tasks) > 0)
		again, err := New("s", s.Job)
		assert.NilError(t, err)
		assert.Equal(t, again.Digest, s.Digest)
	})
}
