package settings

import (
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestKeysOfTheSettings holds the keys of the settings file with their defaults.
func TestKeysOfTheSettings(t *testing.T) {
	process, err := yaml.Marshal(Default())
	assert.NilError(t, err)
	golden.Assert(t, string(process), "process-keys.golden")
}
