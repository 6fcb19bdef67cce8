package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// entrySettings holds valid settings of an entry.
const entrySettings = `{
  "vm": {"id": "e1", "role": "entry", "region": "r", "data_centre": "a", "rpc_address": "10.0.0.1:7780"},
  "formation": {"seeds": ["10.0.0.2:9000"], "first_start": true},
  "callers": {"address": "10.0.0.1:80", "ready_address": "10.0.0.1:81"}
}`

// TestParseNode guards against accepting invalid settings and against reporting only some
// of the errors.
func TestParseNode(t *testing.T) {
	n, findings := ParseNode([]byte(entrySettings))
	assert.Empty(t, findings)
	assert.Equal(t, []string{"10.0.0.2:7780"}, n.SeedAddresses(), "the port of a seed is ignored")
	assert.Equal(t, 1, n.Formation.TolerateLosses)

	broken := strings.NewReplacer(`"e1"`, `""`, `"10.0.0.1:7780"`, `"nowhere"`, `["10.0.0.2:9000"]`, `[]`, `"10.0.0.1:81"`, `""`).Replace(entrySettings)
	_, findings = ParseNode([]byte(broken))
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	assert.Equal(t, []string{"vm.id", "vm.rpc_address", "formation.seeds", "callers.ready_address"}, paths)

	assert.Equal(t, 5*time.Second, n.Callers.StallTimeout())

	negative := strings.NewReplacer(`"region"`, `"memory_mb": -1, "buffer_quota_mb": -1, "max_descriptors": -1, "region"`, `"ready_address"`, `"stall_timeout_ms": 0, "ready_address"`).Replace(entrySettings)
	_, findings = ParseNode([]byte(negative))
	paths = nil
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	assert.ElementsMatch(t, []string{"vm.memory_mb", "vm.buffer_quota_mb", "vm.max_descriptors", "callers.stall_timeout_ms"}, paths)

	for name, change := range map[string][2]string{
		"control without data_dir": {`"entry"`, `"control"`},
		"unknown role":             {`"entry"`, `"other"`},
		"unknown field":            {`"first_start"`, `"first_begin"`},
		"truncated":                {`}`, ``},
	} {
		_, findings := ParseNode([]byte(strings.Replace(entrySettings, change[0], change[1], 1)))
		assert.NotEmpty(t, findings, name)
	}
}
