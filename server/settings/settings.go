// Package settings loads and validates the settings file of a process.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Settings configure one process.
type Settings struct {
	// VM names the process and its addresses.
	VM VM `json:"vm"`
	// Deployment is equal on all VMs of a deployment.
	Deployment Deployment `json:"deployment"`
	// Control names the control VMs.
	Control Control `json:"control"`
	// Entry tunes the entry role.
	Entry Entry `json:"entry"`
	// Log tunes the log.
	Log Log `json:"log"`
}

// VM names the process and its addresses.
type VM struct {
	// ID is unique in the deployment.
	ID string `json:"id"`
	// Role is "entry" or "control".
	Role string `json:"role"`
	// Region and DataCentre say where the VM runs.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// RPCAddress is where other VMs reach it, as IP:port.
	RPCAddress string `json:"rpc_address"`
	// HTTPAddress is where callers, targets and operators reach it, as IP:port.
	HTTPAddress string `json:"http_address"`
}

// Deployment is equal on all VMs of a deployment.
type Deployment struct {
	// Name is the deployment's name.
	Name string `json:"name"`
	// Shards is fixed when the deployment is created; 64 by default.
	Shards int `json:"shards"`
	// Replicas is the number of copies of each shard; 3 by default.
	Replicas int `json:"replicas"`
	// DataCentres lists all data centres.
	DataCentres []string `json:"data_centres"`
}

// Control names the control VMs.
type Control struct {
	// Members maps names of control VMs to their RPC addresses.
	Members map[string]string `json:"members"`
	// HTTPAddresses maps names of control VMs to their HTTP addresses, for forwarding operators to the leader.
	HTTPAddresses map[string]string `json:"http_addresses,omitempty"`
	// RecreateLostShards lets control create a shard empty when all its copies are lost.
	RecreateLostShards bool `json:"recreate_lost_shards"`
	// DataDir holds all durable state of a control VM.
	DataDir string `json:"data_dir"`
	// AdminToken authenticates operators.
	AdminToken string `json:"admin_token"`
}

// Entry tunes the entry role.
type Entry struct {
	// AddressLifetimeMS is how long callers may keep an answer of GET /v1/entries, in milliseconds.
	AddressLifetimeMS int64 `json:"address_lifetime_ms"`
	// TargetNetworks are the networks in which targets run, such as 10.0.0.0/8;
	// announcements from elsewhere are refused. Empty admits all.
	TargetNetworks []string `json:"target_networks,omitempty"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// CallTimeoutMS bounds a call when its profile sets no bound, in milliseconds.
	CallTimeoutMS int64 `json:"call_timeout_ms"`
	// QueueTimeoutMS bounds the wait for the program's turn, in milliseconds.
	QueueTimeoutMS int64 `json:"queue_timeout_ms"`
}

// Log tunes the log.
type Log struct {
	// Level is the least severe level that is written.
	Level string `json:"level"`
	// ProfileAddress serves net/http/pprof, as IP:port; empty serves none.
	ProfileAddress string `json:"profile_address,omitempty"`
}

// AddressLifetime returns AddressLifetimeMS as a duration.
func (e Entry) AddressLifetime() time.Duration { return milliseconds(e.AddressLifetimeMS) }

// Networks returns TargetNetworks, which Load has checked.
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

// Default returns the values of absent fields.
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

// Load reads, parses and validates a settings file. All findings are returned
// together; the settings are usable only when there are none.
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

// Parse parses and validates settings.
func Parse(data []byte) (Settings, Findings) {
	lines, findings := scan(data)
	if len(findings) > 0 && findings[0].fatal {
		return Settings{}, findings
	}
	findings = append(findings, checkSchema(data, lines)...)
	if len(findings) > 0 {
		return Settings{}, findings
	}
	s := Default()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, Findings{{Message: err.Error()}}
	}
	findings = append(findings, s.check(lines)...)
	return s, findings
}
