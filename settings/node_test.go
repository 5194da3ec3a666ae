package settings

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
)

// fillTemplate returns a settings template with its placeholders replaced.
func fillTemplate(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	assert.NilError(t, err)
	values := map[string]string{"node_name": "edge-a-1", "zone": "a", "ip": "10.1.0.13", "port_range.0": "7720",
		"platform.address": "10.2.0.7:8169", "bounds.grace_s": "6", "bounds.far_factor": "1.5",
		"limits.link_mbps": "25.0", "limits.max_fds": "4100", "contracts|json": `["base","pressure"]`,
		"listen.front": "10.1.0.13:8161",
		"listen.ready": "10.1.0.13:8167", "listen.control": "10.1.0.13:8166", "app": "10.1.0.13:8165"}
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllFunc(raw, func(placeholder []byte) []byte {
		value, ok := values[strings.Trim(string(placeholder), "{}")]
		assert.Assert(t, ok, string(placeholder))
		return []byte(value)
	})
}

func TestDeployTemplatesAreValid(t *testing.T) {
	entry, err := ParseNode(fillTemplate(t, "../deploy/entry.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, entry.Role, peer.RoleEntry)
	assert.Equal(t, entry.PeerAddr, "10.1.0.13:7720")
	assert.Equal(t, entry.LinkMbps, 25.0)
	assert.Equal(t, entry.Descriptors, 4100)
	assert.DeepEqual(t, entry.Contracts, []string{"base", "pressure"})
	agent, err := ParseNode(fillTemplate(t, "../deploy/agent.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, agent.Role, peer.RoleAgent)
	assert.Equal(t, agent.TargetAddr, "10.1.0.13:8165")
}

func TestNodeFaultsReportLines(t *testing.T) {
	_, err := ParseNode([]byte(
		"role: entry\nname: e\nzone: z\npeers: nowhere\nstore: 127.0.0.1:1\ncaller: 127.0.0.1:2\n"))
	assert.Error(t, err, `line 6: unknown key "caller"; did you mean "callers"?`)
	_, err = ParseNode([]byte(
		"role: agent\nname: e\nzone: z\npeers: nowhere\nstore: 127.0.0.1:1\nworker: 127.0.0.1:2\n"))
	assert.Error(t, err,
		"reports is not set, and an agent needs it\nline 4: peers is \"nowhere\", not an address such as 127.0.0.1:7400")
	_, err = ParseNode(nil)
	assert.Error(t, err, "the file is empty")
}

// TestOperationsPageHasEveryNodeSetting guards against undocumented settings.
func TestOperationsPageHasEveryNodeSetting(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, key := range nodeKeys() {
		assert.Assert(t, strings.Contains(string(page), "| `"+key+"` of a node |"), key)
	}
}

// nodeKeys returns the YAML keys of the node settings.
func nodeKeys() []string {
	var keys []string
	node := reflect.TypeFor[Node]()
	for k := range node.NumField() {
		keys = append(keys, node.Field(k).Tag.Get("yaml"))
	}
	return keys
}
