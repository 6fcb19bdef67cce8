package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	roleControl = "control"
	roleStore   = "store"
	roleEntry   = "entry"

	// These are offsets from the first port of a cluster.
	portRPC = iota - 3
	portRPCListen
	portHistory
	portControl
	portDirectory
	portCaller
	portReady
	portMetrics
	portWorker
	portCount

	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
	// startTimeout bounds the formation of a cluster.
	startTimeout = 30 * time.Second
)

var zones = []string{"valley-east", "coastal-bend", "border-west"}

// vm is a machine with one process.
type vm struct {
	c        *cluster
	name     string
	role     string
	zone     string
	ip       string
	dir      string
	memoryMB int64
	proxy    *proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	started  bool
	stopping bool
}

// cluster is a deployment with stand-ins for its workers.
type cluster struct {
	r      *run
	prefix string // the first two bytes of all addresses
	port   int    // the first port
	vms    []*vm
}

// size is the number of machines of each class.
type size struct {
	controls, stores, entries    int
	entryMemoryMB, storeMemoryMB int64
	// proxied is set if the machines reach each other through proxies.
	proxied bool
}

// startCluster starts a deployment and waits until its entries are ready with a manifest.
func startCluster(r *run, s size, manifest map[string]any) (*cluster, error) {
	c := &cluster{r: r}
	r.cluster.Store(c)
	if err := c.findAddresses(); err != nil {
		return nil, err
	}
	for number, group := range []struct {
		role     string
		n        int
		memoryMB int64
	}{{roleControl, s.controls, 280}, {roleStore, s.stores, s.storeMemoryMB}, {roleEntry, s.entries, s.entryMemoryMB}} {
		for i := range group.n {
			v := &vm{c: c, role: group.role, name: fmt.Sprintf("%s-%d", group.role, i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d.%d", c.prefix, number+1, i+1), memoryMB: group.memoryMB}
			v.dir = filepath.Join(r.tmp, v.name)
			if err := os.MkdirAll(filepath.Join(v.dir, "data"), 0o700); err != nil {
				return c, err
			}
			c.vms = append(c.vms, v)
		}
	}
	if s.proxied {
		for _, v := range c.vms {
			p, err := startProxy(c, v)
			if err != nil {
				return c, err
			}
			v.proxy = p
		}
	}
	for _, v := range c.vms {
		if err := v.start(); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(manifest)
}

// findAddresses chooses a loopback network and ports that are free.
func (c *cluster) findAddresses() error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(230))
		c.port = 20000 + rand.IntN(10000)
		free := true
		for offset := range portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", c.prefix, c.port+offset))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (c *cluster) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, c.port+offset)
}

// withRole returns the machines of a role.
func (c *cluster) withRole(role string) []*vm {
	var vms []*vm
	for _, v := range c.vms {
		if v.role == role {
			vms = append(vms, v)
		}
	}
	return vms
}

// shuffled returns the machines of a role in random order.
func (c *cluster) shuffled(role string) []*vm {
	vms := c.withRole(role)
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms
}

// settings returns the settings file as the templates of the deploy file give it.
func (v *vm) settings() []byte {
	c := v.c
	var seeds []string
	for _, s := range c.withRole(roleControl) {
		seeds = append(seeds, c.address(s.ip, portControl))
	}
	machine := map[string]any{
		"id": v.name, "role": v.role, "region": "gulf-plains", "data_centre": v.zone,
		"rpc_address": c.address(v.ip, portRPC), "metrics_address": c.address(v.ip, portMetrics), "memory_mb": v.memoryMB,
	}
	if v.proxy != nil {
		machine["rpc_listen"] = c.address(v.ip, portRPCListen)
	}
	formation := map[string]any{"seeds": seeds, "first_start": !v.started, "tolerate_losses": 1}
	document := map[string]any{"vm": machine, "formation": formation, "log": map[string]any{"level": "info"}}
	switch v.role {
	case roleControl:
		formation["data_dir"] = filepath.Join(v.dir, "data")
		document["control"] = map[string]any{"address": c.address(v.ip, portControl), "directory_address": c.address(v.ip, portDirectory)}
	case roleStore:
		formation["data_dir"] = filepath.Join(v.dir, "data")
		machine["history_address"] = c.address(v.ip, portHistory)
	default:
		document["callers"] = map[string]any{"address": c.address(v.ip, portCaller), "ready_address": c.address(v.ip, portReady)}
	}
	data, _ := json.MarshalIndent(document, "", "  ")
	return data
}

// start starts the process with the command of the deploy file. The platform starts it again
// after it has ended.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil
	}
	path := filepath.Join(v.dir, "settings.json")
	if err := os.WriteFile(path, v.settings(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(v.c.r.root, "target", "hemlockvaled"), "serve", "--settings", path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = v.c.r.root, out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	v.started, v.cmd, v.exited = true, cmd, make(chan struct{})
	exited := v.exited
	go func() {
		err := cmd.Wait()
		close(exited)
		v.mu.Lock()
		stopping := v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		v.c.r.record.log("process of %s ended: %v", v.name, err)
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			v.c.r.record.log("process of %s not started: %v", v.name, err)
		}
	}()
	return nil
}

// pid returns the id of the running process, or 0.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return 0
	}
	return v.cmd.Process.Pid
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// stop ends all processes of the cluster.
func (c *cluster) stop() {
	for _, v := range c.vms {
		v.mu.Lock()
		v.stopping = true
		exited := v.exited
		v.mu.Unlock()
		v.signal(syscall.SIGKILL)
		if exited != nil {
			<-exited
		}
		if v.proxy != nil {
			v.proxy.listener.Close()
		}
	}
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a call to the control machines, in random order, until one answers 2xx. It returns
// the name of that machine.
func (c *cluster) post(path string, body any, machines ...*vm) (string, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	if machines == nil {
		machines = c.shuffled(roleControl)
	}
	for _, v := range machines {
		var response *http.Response
		response, err = control.Post("http://"+c.address(v.ip, portControl)+path, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return v.name, nil
		}
		err = fmt.Errorf("%s: status %d", path, response.StatusCode)
	}
	return "", err
}

// awaitReady puts the manifest and waits until all entries are ready.
func (c *cluster) awaitReady(manifest map[string]any) error {
	deadline := time.Now().Add(startTimeout)
	acked, err := "", error(nil)
	for acked == "" && time.Now().Before(deadline) {
		if acked, err = c.post("/api/config/put", manifest); err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if acked == "" {
		return fmt.Errorf("manifest not acknowledged: %w", err)
	}
	c.r.record.log("manifest %v acknowledged by %s", manifest["version"], acked)
	for _, v := range c.withRole(roleEntry) {
		for !c.ready(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.r.record.log("all entries are ready")
	return nil
}

func (c *cluster) ready(v *vm) bool {
	response, err := control.Get("http://" + c.address(v.ip, portReady) + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leads reports whether a machine says in its metrics that it leads its quorum.
func (c *cluster) leads(v *vm) bool {
	response, err := control.Get("http://" + c.address(v.ip, portMetrics) + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 && strings.HasSuffix(fields[0], "quorum_leading") {
			return fields[1] == "1"
		}
	}
	return false
}

// leader returns the machine of a role that leads.
func (c *cluster) leader(role string) *vm {
	for range 100 {
		for _, v := range c.withRole(role) {
			if c.leads(v) {
				return v
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
