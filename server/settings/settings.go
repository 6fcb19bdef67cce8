// Package settings loads and validates the settings file of a process. There are two
// formats: Node for the roles of package node, and Settings for those of package daemon.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Settings is the configuration of one process that runs a role of package daemon.
type Settings struct {
	// VM identifies the process and holds its addresses.
	VM VM `json:"vm"`
	// Deployment holds the settings that are equal on all VMs of a deployment.
	Deployment Deployment `json:"deployment"`
	// Control holds the addresses of the control VMs and the settings of the control role.
	Control Control `json:"control"`
	// Entry configures the entry role.
	Entry Entry `json:"entry"`
	// Log configures the log and the profiler.
	Log Log `json:"log"`
}

// VM identifies the process and holds its addresses.
type VM struct {
	// ID is the name of the VM, which is unique in the deployment.
	ID string `json:"id"`
	// Role is the role of the process: "entry" or "control".
	Role string `json:"role"`
	// Region and DataCentre tell where the VM runs.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// RPCAddress is the IP:port at which other VMs reach the process.
	RPCAddress string `json:"rpc_address"`
	// HTTPAddress is the IP:port at which callers, targets and operators reach the process.
	HTTPAddress string `json:"http_address"`
}

// Deployment holds the settings that are equal on all VMs of a deployment.
type Deployment struct {
	// Name is the name of the deployment.
	Name string `json:"name"`
	// Shards is the number of shards, which cannot change after the creation of the
	// deployment; the default is 64.
	Shards int `json:"shards"`
	// Replicas is the number of copies of each shard; the default is 3.
	Replicas int `json:"replicas"`
	// DataCentres lists all data centres.
	DataCentres []string `json:"data_centres"`
}

// Control holds the addresses of the control VMs and the settings of the control role.
type Control struct {
	// Members maps the IDs of the control VMs to their RPC addresses.
	Members map[string]string `json:"members"`
	// HTTPAddresses maps the IDs of the control VMs to their HTTP addresses, which are used
	// to forward requests of operators to the leader.
	HTTPAddresses map[string]string `json:"http_addresses,omitempty"`
	// RecreateLostShards is the initial value of the setting that allows control to recreate
	// a shard without its data when all copies of the shard are lost.
	RecreateLostShards bool `json:"recreate_lost_shards"`
	// DataDir is the directory of the durable state of a control VM.
	DataDir string `json:"data_dir"`
	// AdminToken is the bearer token of operators; control VMs require it.
	AdminToken string `json:"admin_token"`
}

// Entry configures the entry role.
type Entry struct {
	// AddressLifetimeMS is the time in milliseconds for which callers may use the response
	// to GET /v1/entries.
	AddressLifetimeMS int64 `json:"address_lifetime_ms"`
	// TargetNetworks are the networks of the targets, such as 10.0.0.0/8. Announcements
	// from other addresses are rejected. An empty list admits all addresses.
	TargetNetworks []string `json:"target_networks,omitempty"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// CallTimeoutMS is the timeout in milliseconds of a call whose profile sets none.
	CallTimeoutMS int64 `json:"call_timeout_ms"`
	// QueueTimeoutMS is the maximum time in milliseconds that a call waits for its turn
	// among the calls of its program.
	QueueTimeoutMS int64 `json:"queue_timeout_ms"`
}

// Log configures the log and the profiler.
type Log struct {
	// Level is the lowest severity that is written.
	Level string `json:"level"`
	// ProfileAddress is the IP:port that serves net/http/pprof; empty disables it.
	ProfileAddress string `json:"profile_address,omitempty"`
}

// AddressLifetime returns AddressLifetimeMS as a duration.
func (e Entry) AddressLifetime() time.Duration { return milliseconds(e.AddressLifetimeMS) }

// Networks returns the parsed TargetNetworks. It skips invalid networks without an error,
// because Load has already reported them.
func (e Entry) Networks() []netip.Prefix {
	var networks []netip.Prefix
	for _, text := range e.TargetNetworks {
		if prefix, err := netip.ParsePrefix(text); err == nil {
			networks = append(networks, prefix)
		}
	}
	return networks
}

// CallTimeout returns CallTimeoutMS as a duration.
func (e Entry) CallTimeout() time.Duration { return milliseconds(e.CallTimeoutMS) }

// QueueTimeout returns QueueTimeoutMS as a duration.
func (e Entry) QueueTimeout() time.Duration { return milliseconds(e.QueueTimeoutMS) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Default returns settings that hold the default values of the optional fields.
func Default() Settings {
	return Settings{
		Deployment: Deployment{Shards: 64, Replicas: 3},
		Entry: Entry{
			AddressLifetimeMS: 30_000,
			MaxBodyBytes:      8 << 20,
			CallTimeoutMS:     600_000,
			QueueTimeoutMS:    120_000,
		},
		Log: Log{Level: "info"},
	}
}

// Load reads, parses and validates a settings file. It returns all findings together; the
// settings are usable only if there are none.
func Load(path string) (Settings, Findings) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Findings{{File: path, Message: fmt.Sprintf("cannot read the file: %v", err)}}
	}
	s, findings := Parse(data)
	for i := range findings {
		findings[i].File = path
	}
	return s, findings
}

// Parse parses and validates settings. The settings are usable only if there are no
// findings.
func Parse(data []byte) (Settings, Findings) {
	positions, findings := scan(data)
	if len(findings) > 0 && findings[0].fatal {
		return Settings{}, findings
	}
	findings = append(findings, checkSchema(data, positions)...)
	if len(findings) > 0 {
		return Settings{}, findings
	}
	s := Default()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, Findings{{Message: err.Error()}}
	}
	findings = append(findings, s.check(positions)...)
	return s, findings
}
