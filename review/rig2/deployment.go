// Command rig2 runs the cases of the second review: it starts a small deployment of
// hemlockvaled on loopback addresses, plays clients, workers, the operator and the provider,
// and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program = "target/hemlockvaled"
	// restartDelay is the time after which the provider restarts a process that has ended.
	restartDelay = 500 * time.Millisecond

	controlPort   = 8367
	directoryPort = 8370
	frontPort     = 8368
	readyPort     = 8369
	reservedPort  = 7779
)

// machine is one machine of the deployment with its process.
type machine struct {
	d     *deployment
	name  string
	class string
	zone  string
	ip    string
	dir   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started bool
	// down is set while the provider does not restart the process.
	down bool
	// ends counts the times that the process ended by itself.
	ends int
}

// deployment is a set of machines.
type deployment struct {
	rec      *recorder
	prefix   string
	dir      string
	tolerate int
	machines []*machine
	reserved net.Listener
	// closed is set once no process may be started any more.
	closed atomic.Bool
}

// newDeployment reserves a loopback network and lays out the machines, one zone after the other.
func newDeployment(rec *recorder, tolerate int, counts map[string]int, zones []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "hemlockvale-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, tolerate: tolerate}
	for n := 60; n < 250 && d.reserved == nil; n++ {
		prefix := fmt.Sprintf("127.%d", n)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", prefix, reservedPort)); err == nil {
			d.prefix, d.reserved = prefix, l
		}
	}
	if d.reserved == nil {
		return nil, fmt.Errorf("no loopback network is free")
	}
	for index, class := range []string{"core", "store", "front"} {
		for n := range counts[class] {
			m := &machine{d: d, name: fmt.Sprintf("%s-%d", class, n+1), class: class, zone: zones[n%len(zones)], ip: fmt.Sprintf("%s.%d.%d", d.prefix, index+1, n+1)}
			m.dir = filepath.Join(dir, m.name)
			if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
				return nil, err
			}
			d.machines = append(d.machines, m)
		}
	}
	return d, nil
}

func (d *deployment) class(class string) []*machine {
	var list []*machine
	for _, m := range d.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

func (d *deployment) machine(name string) *machine {
	for _, m := range d.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes their files.
func (d *deployment) close() {
	d.closed.Store(true)
	for _, m := range d.machines {
		m.kill()
	}
	d.reserved.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// fields are what the provider fills the templates of the deploy file with.
func (m *machine) fields() map[string]any {
	var seeds []string
	for _, s := range m.d.class("core")[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	memory := map[string]int{"core": 280, "store": 154, "front": 120}[m.class]
	f := map[string]any{
		"node_name": m.name, "zone": m.zone, "region": "r", "ip": m.ip, "internal_ports": []any{7780, 7795}, "seeds": seeds,
		"bootstrap": !m.started, "limits": map[string]any{"memory_mb": memory, "max_fds": 4096},
		"fault_tolerance": map[string]any{"machines": m.d.tolerate}, "data_dir": m.dataDir(),
		"listen": map[string]any{"front": fmt.Sprintf("%s:%d", m.ip, frontPort), "ready": fmt.Sprintf("%s:%d", m.ip, readyPort), "control": fmt.Sprintf("%s:%d", m.ip, controlPort), "directory": fmt.Sprintf("%s:%d", m.ip, directoryPort)},
	}
	if m.class == "front" {
		f["data_dir"] = nil
	}
	return f
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings renders the template of the deploy file. Only values are needed, no sections.
func (m *machine) settings() (string, error) {
	template := map[string]string{"core": "control", "store": "store", "front": "entry"}[m.class]
	text, err := os.ReadFile("deploy/platform/" + template + ".tmpl")
	if err != nil {
		return "", err
	}
	fields := m.fields()
	rendered := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		match := placeholder.FindStringSubmatch(p)
		var value any = fields
		for _, key := range strings.Split(match[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				value = v[int(key[0]-'0')]
			}
		}
		if match[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
	path := filepath.Join(m.dir, "settings.json")
	return path, os.WriteFile(path, []byte(rendered), 0o644)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startLocked()
}

// startLocked is start for a caller that holds m.mu.
func (m *machine) startLocked() error {
	if m.d.closed.Load() {
		return fmt.Errorf("%s: the deployment is closed", m.name)
	}
	path, err := m.settings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "serve", "--settings", path)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEMLOCKVALE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.started, m.down = cmd, exited, true, false
	go func() {
		_ = cmd.Wait()
		close(exited)
		m.mu.Lock()
		own := m.cmd == cmd && !m.down
		if own {
			m.ends++
		}
		m.mu.Unlock()
		if own {
			m.d.rec.log("platform: the process of %s has ended by itself", m.name)
			time.Sleep(restartDelay)
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.cmd == cmd && !m.down {
				_ = m.startLocked()
			}
		}
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL. It stays down until start is called.
func (m *machine) kill() {
	m.mu.Lock()
	m.down = true
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-exited
}

// wipe empties the disk. The process must be down.
func (m *machine) wipe() {
	_ = os.RemoveAll(m.dataDir())
	_ = os.MkdirAll(m.dataDir(), 0o755)
}
