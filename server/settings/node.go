package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"
)

// RoleEntry, RoleControl and RoleStore are the values of NodeVM.Role.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleStore   = "store"
)

// Node is the configuration of one process of a deployment whose VMs find each other
// through seed addresses.
type Node struct {
	// VM identifies the process and holds its addresses.
	VM NodeVM `json:"vm"`
	// Formation configures how the VMs find each other, the first start of the deployment
	// and the losses that it tolerates.
	Formation Formation `json:"formation"`
	// Callers configures the entry role. Control VMs also use its AddressLifetimeMS.
	Callers Callers `json:"callers"`
	// Control configures the control role.
	Control NodeControl `json:"control"`
	// Log configures the log.
	Log Log `json:"log"`
}

// NodeVM identifies a process and holds its addresses.
type NodeVM struct {
	// ID is the name of the VM, which is unique in the deployment.
	ID string `json:"id"`
	// Role is the role of the process: "entry", "control" or "store".
	Role string `json:"role"`
	// Region and DataCentre tell where the VM runs.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// RPCAddress is the IP:port at which other VMs reach the process. The port is the same
	// on all VMs.
	RPCAddress string `json:"rpc_address"`
	// RPCListen is the IP:port on which the process listens for other VMs if they reach it
	// through a forwarder; the default is RPCAddress.
	RPCListen string `json:"rpc_listen,omitempty"`
	// HistoryAddress is the IP:port at which a store VM serves the histories of programs.
	HistoryAddress string `json:"history_address,omitempty"`
	// MetricsAddress is the IP:port that serves the metrics; empty disables it.
	MetricsAddress string `json:"metrics_address,omitempty"`
	// MemoryMB is the memory in MiB that the process may use, from which the memory limit
	// of the Go runtime is derived; 0 means no limit.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// BufferQuotaMB bounds the bytes in MiB that an entry buffers on behalf of callers, targets
	// and other VMs; 0 means that it is derived from MemoryMB.
	BufferQuotaMB int64 `json:"buffer_quota_mb,omitempty"`
	// MaxDescriptors is the number of descriptors that the process may have open, from which the
	// limits of connections are derived; 0 means the limit of the system (RLIMIT_NOFILE), which
	// applies if it is lower.
	MaxDescriptors int64 `json:"max_descriptors,omitempty"`
}

// Formation configures how the VMs find each other, the first start of the deployment and
// the losses that it tolerates.
type Formation struct {
	// Seeds are the addresses of some control VMs. Their ports are ignored; the port of
	// RPCAddress is used instead.
	Seeds []string `json:"seeds"`
	// FirstStart must be true only when the whole deployment starts for the first time.
	FirstStart bool `json:"first_start"`
	// TolerateLosses is the number of VMs with a disk that may be lost at the same time.
	TolerateLosses int `json:"tolerate_losses"`
	// DataDir is the directory of the durable state of control and store VMs.
	DataDir string `json:"data_dir,omitempty"`
}

// Callers configures the addresses that an entry serves, the lifetime of address lists and
// the planned stop of an entry.
type Callers struct {
	// Address is the IP:port to which callers connect.
	Address string `json:"address,omitempty"`
	// ReadyAddress is the IP:port that serves the readiness check of the entry.
	ReadyAddress string `json:"ready_address,omitempty"`
	// AddressLifetimeMS is the time in milliseconds for which callers may use a list of
	// entries.
	AddressLifetimeMS int64 `json:"address_lifetime_ms"`
	// StopGraceMS is the maximum duration of a planned stop in milliseconds.
	StopGraceMS int64 `json:"stop_grace_ms"`
	// StallTimeoutMS is how long in milliseconds a caller may leave a response unread before an
	// entry closes its connection.
	StallTimeoutMS int64 `json:"stall_timeout_ms"`
}

// AddressLifetime returns AddressLifetimeMS as a duration.
func (c Callers) AddressLifetime() time.Duration { return milliseconds(c.AddressLifetimeMS) }

// StopGrace returns StopGraceMS as a duration.
func (c Callers) StopGrace() time.Duration { return milliseconds(c.StopGraceMS) }

// StallTimeout returns StallTimeoutMS as a duration.
func (c Callers) StallTimeout() time.Duration { return milliseconds(c.StallTimeoutMS) }

// NodeControl configures a control VM.
type NodeControl struct {
	// Address is the IP:port to which targets and operators connect.
	Address string `json:"address,omitempty"`
	// DirectoryAddress is the IP:port at which callers look up the addresses of entries.
	DirectoryAddress string `json:"directory_address,omitempty"`
}

// SeedAddresses returns the RPC addresses of the seeds: their IPs with the port of
// RPCAddress.
func (n Node) SeedAddresses() []string {
	_, port, err := net.SplitHostPort(n.VM.RPCAddress)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, seed := range n.Formation.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}

// defaultNode returns settings that hold the default values of the optional fields.
func defaultNode() Node {
	return Node{
		Formation: Formation{TolerateLosses: 1},
		Callers:   Callers{AddressLifetimeMS: 500, StopGraceMS: 8000, StallTimeoutMS: 5000},
		Log:       Log{Level: "info"},
	}
}

// LoadNode reads, parses and validates the settings file of a node. It returns all findings
// together; the settings are usable only if there are none.
func LoadNode(path string) (Node, Findings) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, Findings{{File: path, Message: fmt.Sprintf("cannot read the file: %v", err)}}
	}
	n, findings := ParseNode(data)
	for i := range findings {
		findings[i].File = path
	}
	return n, findings
}

// ParseNode parses and validates the settings of a node. The settings are usable only if
// there are no findings.
func ParseNode(data []byte) (Node, Findings) {
	positions, findings := scan(data)
	if len(findings) > 0 && findings[0].fatal {
		return Node{}, findings
	}
	n := defaultNode()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return Node{}, append(findings, Finding{Message: err.Error()})
	}
	return n, append(findings, n.check(positions)...)
}

// nodeValidator collects the findings of a validation.
type nodeValidator struct {
	positions positionIndex
	findings  Findings
}

// report adds a finding at a path.
func (c *nodeValidator) report(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Line: c.positions.line(path), Message: fmt.Sprintf(format, args...)})
}

// checkAddress reports a value that is not an IP address and port.
func (c *nodeValidator) checkAddress(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.report(path, "%q is not an IP address and port", address)
	}
}

// checkPositive reports a value that is not positive.
func (c *nodeValidator) checkPositive(path string, value int64) {
	if value <= 0 {
		c.report(path, "must be positive, not %s", strconv.FormatInt(value, 10))
	}
}

// checkNotNegative reports a value that is negative.
func (c *nodeValidator) checkNotNegative(path string, value int64) {
	if value < 0 {
		c.report(path, "must not be negative")
	}
}

// check validates the settings after decoding.
func (n Node) check(positions positionIndex) Findings {
	c := &nodeValidator{positions: positions}
	if n.VM.ID == "" {
		c.report("vm.id", "is required")
	}
	c.checkAddress("vm.rpc_address", n.VM.RPCAddress)
	if n.VM.RPCListen != "" {
		c.checkAddress("vm.rpc_listen", n.VM.RPCListen)
	}
	if n.VM.MetricsAddress != "" {
		c.checkAddress("vm.metrics_address", n.VM.MetricsAddress)
	}
	if len(n.Formation.Seeds) == 0 {
		c.report("formation.seeds", "at least one address is required")
	}
	for i, seed := range n.Formation.Seeds {
		c.checkAddress(fmt.Sprintf("formation.seeds.%d", i), seed)
	}
	if n.Formation.TolerateLosses < 0 {
		c.report("formation.tolerate_losses", "must not be negative")
	}
	n.checkRole(c)
	return c.findings
}

// checkRole validates the settings that depend on the role.
func (n Node) checkRole(c *nodeValidator) {
	switch n.VM.Role {
	case RoleEntry:
		c.checkAddress("callers.address", n.Callers.Address)
		c.checkAddress("callers.ready_address", n.Callers.ReadyAddress)
	case RoleControl:
		c.checkAddress("control.address", n.Control.Address)
		c.checkAddress("control.directory_address", n.Control.DirectoryAddress)
	case RoleStore:
		c.checkAddress("vm.history_address", n.VM.HistoryAddress)
	default:
		c.report("vm.role", "%q is not entry, control or store", n.VM.Role)
	}
	if n.VM.Role != RoleEntry && n.Formation.DataDir == "" {
		c.report("formation.data_dir", "is required for role %s", n.VM.Role)
	}
	c.checkPositive("callers.address_lifetime_ms", n.Callers.AddressLifetimeMS)
	c.checkPositive("callers.stop_grace_ms", n.Callers.StopGraceMS)
	c.checkPositive("callers.stall_timeout_ms", n.Callers.StallTimeoutMS)
	c.checkNotNegative("vm.memory_mb", n.VM.MemoryMB)
	c.checkNotNegative("vm.buffer_quota_mb", n.VM.BufferQuotaMB)
	c.checkNotNegative("vm.max_descriptors", n.VM.MaxDescriptors)
}
