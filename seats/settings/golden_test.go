package settings

import (
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Fails when a key of the settings file or its default changes.
func TestSettingsKeysAndDefaultsMatchGolden(t *testing.T) {
	process, err := yaml.Marshal(Default())
	assert.NilError(t, err)
	golden.Assert(t, string(process), "process-keys.golden")
}
