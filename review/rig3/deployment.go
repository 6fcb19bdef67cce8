package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// These are the ports of each machine.
const (
	rpcPort       = 7780
	historyPort   = 7781
	controlPort   = 8367
	frontPort     = 8368
	readyPort     = 8369
	directoryPort = 8370
	reservedPort  = 7779
)

// machine is one machine of the deployment with its process.
type machine struct {
	d                    *deployment
	name, role, ip, zone string
	dir                  string
	bootstrap            bool
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// deployment is a small deployment of the project's programs on loopback addresses.
type deployment struct {
	rec         *recorder
	root        string // the repository
	dir         string
	prefix      string
	reservation net.Listener
	machines    []*machine
}

// newDeployment makes the machines of a deployment, which are not started.
func newDeployment(rec *recorder, root string, controls, stores, fronts int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, dir: dir}
	for n := 30; n < 250 && d.reservation == nil; n++ {
		d.prefix = fmt.Sprintf("127.%d", n)
		d.reservation, _ = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", d.prefix, reservedPort))
	}
	if d.reservation == nil {
		return nil, errors.New("no loopback network is free")
	}
	for index, g := range []struct {
		role string
		n    int
	}{{"control", controls}, {"store", stores}, {"entry", fronts}} {
		for n := range g.n {
			d.add(g.role, index+1, n+1, true)
		}
	}
	current.Store(d)
	return d, nil
}

var roleNames = map[string]string{"control": "core", "store": "store", "entry": "front"}

func (d *deployment) add(role string, network, n int, bootstrap bool) *machine {
	zone := string(rune('a' + (n-1)%3))
	m := &machine{d: d, role: role, zone: "zone-" + zone, ip: fmt.Sprintf("%s.%d.%d", d.prefix, network, n), bootstrap: bootstrap}
	m.name = fmt.Sprintf("%s-zone-%s-%d", roleNames[role], zone, n)
	m.dir = filepath.Join(d.dir, m.name)
	d.machines = append(d.machines, m)
	return m
}

func (d *deployment) of(role string) []*machine {
	var list []*machine
	for _, m := range d.machines {
		if m.role == role {
			list = append(list, m)
		}
	}
	return list
}

// startAll starts all machines at about the same time.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the files. With KEEP set, the files stay.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.kill()
	}
	d.reservation.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("files are kept in", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

func asJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// settings fills the template of the machine's role like the platform does.
func (m *machine) settings() (string, error) {
	template, err := os.ReadFile(filepath.Join(m.d.root, "deploy", "platform", m.role+".tmpl"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, c := range m.d.of("control")[:min(3, len(m.d.of("control")))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	memory := map[string]string{"control": "280", "store": "284", "entry": "206"}[m.role]
	text := strings.NewReplacer(
		"{{node_name|json}}", asJSON(m.name), "{{region|json}}", `"region-1"`, "{{zone|json}}", asJSON(m.zone),
		"{{ip}}", m.ip, "{{internal_ports.0}}", fmt.Sprint(rpcPort), "{{internal_ports.1}}", fmt.Sprint(historyPort),
		"{{limits.memory_mb}}", memory, "{{limits.max_fds}}", "2870", "{{seeds|json}}", asJSON(seeds), "{{bootstrap}}", fmt.Sprint(m.bootstrap),
		"{{fault_tolerance.machines}}", "1", "{{data_dir|json}}", asJSON(m.dataDir()),
		"{{listen.control}}", fmt.Sprintf("%s:%d", m.ip, controlPort), "{{listen.directory}}", fmt.Sprintf("%s:%d", m.ip, directoryPort),
		"{{listen.front}}", fmt.Sprintf("%s:%d", m.ip, frontPort), "{{listen.ready}}", fmt.Sprintf("%s:%d", m.ip, readyPort),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", errors.New("the template has a placeholder that is not known here: " + text)
	}
	return text, nil
}

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// start starts the process with the command of the deploy file. After its first start, the settings
// say that the deployment does not start for the first time.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
		return err
	}
	text, err := m.settings()
	if err != nil {
		return err
	}
	m.bootstrap = false
	path := filepath.Join(m.dir, "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.d.root, "target", "hemlockvaled"), "serve", "--settings", path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.d.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		// Most processes are ended by a signal.
		_ = cmd.Wait()
		close(exited)
	}()
	m.d.rec.line("machine %s started", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// freeze stops the process until thaw is called.
func (m *machine) freeze() {
	m.signal(syscall.SIGSTOP)
	m.d.rec.line("machine %s frozen (SIGSTOP)", m.name)
}

func (m *machine) thaw() {
	m.signal(syscall.SIGCONT)
	m.d.rec.line("machine %s continues (SIGCONT)", m.name)
}

// kill ends the process with SIGKILL.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Kill()
	<-exited
	m.d.rec.line("machine %s killed (SIGKILL)", m.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (m *machine) terminate(grace time.Duration) {
	m.signal(syscall.SIGTERM)
	m.d.rec.line("machine %s gets SIGTERM", m.name)
	select {
	case <-m.exited:
		m.d.rec.line("machine %s ended", m.name)
	case <-time.After(grace):
		m.kill()
	}
}

// wipe deletes the data, as if the machine had lost its disk. The process must not run.
func (m *machine) wipe() error {
	m.d.rec.line("machine %s loses its disk", m.name)
	return os.RemoveAll(m.dataDir())
}
