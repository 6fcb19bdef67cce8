package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// controlSettings holds valid settings of a control VM.
const controlSettings = `{
  "vm": {"id": "control-1", "role": "control", "region": "gulf-plains", "data_centre": "valley-east",
         "rpc_address": "127.0.0.1:7001", "http_address": "127.0.0.1:8001"},
  "deployment": {"name": "test", "data_centres": ["valley-east"]},
  "control": {"members": {"control-1": "127.0.0.1:7001"}, "data_dir": "var/c1", "admin_token": "0123456789abcdef"}
}`

// TestFindings guards against accepting invalid settings, against findings without a
// position and against reporting only the first error.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"unknown field", `"name": "test"`, `"name": "test", "shard": 3`, []string{"4: deployment: additional properties 'shard' not allowed"}},
		{"wrong type", `["valley-east"]`, `"valley-east"`, []string{"4: deployment.data_centres: got string, want array"}},
		{"duplicate key", `"data_dir"`, `"data_dir": "x", "data_dir"`, []string{"5: control.data_dir: duplicate key"}},
		{"invalid JSON", `"deployment":`, `"deployment"`, []string{"4: invalid JSON"}},
		{"two errors", `"role": "control", "region": "gulf-plains"`, `"role": "boss", "region": 7`, []string{"2: vm.role: value must be one of 'entry', 'control'", "2: vm.region: got number, want string"}},
		{"host name", `"127.0.0.1:8001"`, `"localhost:8001"`, []string{"3: vm.http_address: 'localhost:8001' does not match pattern"}},
		{"port out of range", `"127.0.0.1:8001"`, `"127.0.0.1:80001"`, []string{`3: vm.http_address: "127.0.0.1:80001" is not an IP address and port`}},
		{"bad network", `"deployment"`, `"entry": {"target_networks": ["10.0.0.0/8", "10/33"]}, "deployment"`, []string{`4: entry.target_networks.1: "10/33" is not a network`}},
		{"unlisted data centre", `["valley-east"]`, `["elsewhere"]`, []string{`2: vm.data_centre: "valley-east" is not listed`}},
		{"even number of control members", `"control-1": "127.0.0.1:7001"`, `"control-1": "127.0.0.1:7001", "control-2": "127.0.0.1:7001"`, []string{"control.members.control-2: has the address of control-1", "control.members: an even number"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, findings := Parse([]byte(strings.Replace(controlSettings, c.old, c.new, 1)))
			require.Len(t, findings, len(c.want), "%v", findings)
			for i, want := range c.want {
				require.Contains(t, findings[i].String(), want)
			}
		})
	}
}

// TestLoadUnreadable guards against treating an unreadable file as an empty one.
func TestLoadUnreadable(t *testing.T) {
	_, findings := Load(filepath.Join(t.TempDir(), "absent.json"))
	require.ErrorContains(t, findings.Err(), "absent.json: cannot read the file")
}

// TestExamples guards against example settings in deploy/ that fail validation.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*/vms/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, findings := Load(file)
		require.NoError(t, findings.Err())
	}
}

// FuzzParse guards against panics of Parse and against accepting settings without a VM ID.
func FuzzParse(f *testing.F) {
	f.Add([]byte(controlSettings))
	f.Add([]byte(`{"vm":[]}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, findings := Parse(data)
		if len(findings) == 0 && s.VM.ID == "" {
			t.Fatal("settings without findings lack an id")
		}
	})
}
