package settings

import (
	"os"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestNodeKeysMatchGolden guards against renamed settings keys and changed defaults.
func TestNodeKeysMatchGolden(t *testing.T) {
	node, err := yaml.Marshal(DefaultNode())
	assert.NilError(t, err)
	golden.Assert(t, string(node), "node-keys.golden")
}

// TestDeployFilesMatchGolden guards against unintended changes of the deploy file and the
// settings templates.
func TestDeployFilesMatchGolden(t *testing.T) {
	var all strings.Builder
	for _, name := range []string{"system.toml", "entry.yaml", "agent.yaml"} {
		raw, err := os.ReadFile("../deploy/" + name)
		assert.NilError(t, err)
		all.WriteString("# " + name + "\n" + string(raw))
	}
	golden.Assert(t, all.String(), "deploy.golden")
}
