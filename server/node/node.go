// Package node assembles a process of a deployment that forms itself from seed
// addresses: an entry, a control VM or a store VM.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/forward"
	"hemlockvale.dev/server/metrics"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
	"hemlockvale.dev/server/wal"
)

const (
	// dialTimeout bounds a connection attempt to another VM; VMs are a few milliseconds apart.
	dialTimeout = 200 * time.Millisecond
	// readHeaderTimeout bounds the time in which a client sends its header.
	readHeaderTimeout = 10 * time.Second
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = time.Second
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
	// diskPause is the time between two attempts to use a disk that takes no writes.
	diskPause = 300 * time.Millisecond
	// closeTimeout bounds the end of what serves no caller.
	closeTimeout = 500 * time.Millisecond
)

// Adapter translates between the product and what callers, targets and operators speak.
type Adapter interface {
	// Wire translates the headers of requests.
	Wire() forward.HeaderCodec
	// Ready answers whether the entry takes callers.
	Ready(ready func() bool) http.Handler
	// Control serves targets and operators.
	Control(g *registry.Registry, log *logrus.Entry) http.Handler
	// Directory serves callers that ask for entries.
	Directory(g *registry.Registry, log *logrus.Entry) http.Handler
}

// Options configure a process.
type Options struct {
	// Settings are valid; Path is read again when they change.
	Settings settings.Node
	Path     string
	// Adapter translates.
	Adapter Adapter
	// Log receives events.
	Log *logrus.Entry
	// DroppedLines counts lines that the log could not take.
	DroppedLines func() int64
}

// process is what all roles share.
type process struct {
	Options
	current  atomic.Pointer[settings.Node]
	started  int64
	pool     *rpc.Pool
	rpc      *rpc.Server
	registry gometrics.Registry
	failed   chan error
}

// Run runs the role until ctx ends, then stops it as planned.
func Run(ctx context.Context, o Options) error {
	p := &process{
		Options: o, started: time.Now().UnixNano(), pool: rpc.NewPool(dialTimeout), rpc: rpc.NewServer(o.Log),
		registry: gometrics.NewRegistry(), failed: make(chan error, 8),
	}
	p.current.Store(&o.Settings)
	if mb := o.Settings.VM.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryShare))
	}
	listener, err := net.Listen("tcp", cmp.Or(o.Settings.VM.RPCListen, o.Settings.VM.RPCAddress))
	if err != nil {
		return fmt.Errorf("vm.rpc_listen: %w", err)
	}
	p.duty("rpc_server", func() error { return p.rpc.Serve(listener) })
	if err := p.serveMetrics(); err != nil {
		return err
	}
	go p.reload(ctx)
	vm := o.Settings.VM
	p.Log.WithFields(logrus.Fields{
		"event": "started", "role": vm.Role, "data_centre": vm.DataCentre, "rpc": vm.RPCAddress, "first_start": o.Settings.Formation.FirstStart, "seeds": fmt.Sprint(o.Settings.Formation.Seeds),
	}).Info("process started")
	switch vm.Role {
	case settings.RoleControl:
		err = p.runControl(ctx)
	case settings.RoleStore:
		err = p.runStore(ctx)
	default:
		err = p.runEntry(ctx)
	}
	p.Log.WithFields(logrus.Fields{"event": "stopped", "error": err}).Info("process stopped")
	return errors.Join(err, p.rpc.Close(), p.pool.Close())
}

// duty runs a task in its own goroutine; its failure ends the process.
func (p *process) duty(name string, run func() error) {
	go func() {
		if err := run(); err != nil {
			select {
			case p.failed <- fmt.Errorf("%s: %w", name, err):
			default:
			}
		}
	}()
}

// wait returns when ctx ends or a duty fails.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.failed:
		return err
	}
}

// serve serves HTTP on an address and returns the server.
func (p *process) serve(name, address string, h http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	p.duty(name, func() error {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return s, nil
}

func (p *process) serveMetrics() error {
	gometrics.NewRegisteredFunctionalGauge("log_lines_dropped", p.registry, p.DroppedLines)
	gometrics.NewRegisteredFunctionalGauge("rpc_bytes_sent", p.registry, p.pool.Traffic().Sent.Load)
	gometrics.NewRegisteredFunctionalGauge("rpc_bytes_received", p.registry, p.pool.Traffic().Received.Load)
	address := p.Settings.VM.MetricsAddress
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler(p.registry))
	_, err := p.serve("vm.metrics_address", address, mux)
	return err
}

// reload reads the settings again after a signal or when the file has changed.
// Only the seeds take effect in a running process.
func (p *process) reload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := modified(p.Path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		if now := modified(p.Path); signalled || !now.Equal(last) {
			last = now
			p.adopt()
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (p *process) adopt() {
	next, findings := settings.LoadNode(p.Path)
	if len(findings) > 0 {
		p.Log.WithField("event", "settings_rejected").WithError(findings.Err()).Warn("changed settings are not valid; the former ones stay in force")
		return
	}
	p.current.Store(&next)
	p.Log.WithFields(logrus.Fields{"event": "settings_reloaded", "seeds": fmt.Sprint(next.Formation.Seeds)}).Info("settings reloaded")
}

// seeds returns the RPC addresses of the seeds in the current settings.
func (p *process) seeds() []string { return p.current.Load().SeedAddresses() }

// dial returns a caller for the quorum.
func (p *process) dial(_ context.Context, address string) (rpc.Caller, error) {
	return p.pool.To(address), nil
}

// awaitDisk returns once the data directory takes writes or ctx ends. A replica
// on a full disk would end the process again and again.
func (p *process) awaitDisk(ctx context.Context) {
	full := false
	for ctx.Err() == nil {
		err := wal.Probe(p.Settings.Formation.DataDir)
		if (err != nil) != full {
			full = err != nil
			p.Log.WithFields(logrus.Fields{"event": "storage", "writable": !full, "error": err}).Warn("data directory changed")
		}
		if err == nil {
			return
		}
		time.Sleep(diskPause)
	}
}

// startQuorum starts a replica that is named after its IP.
func (p *process) startQuorum(ctx context.Context, sm quorum.StateMachine, initial []string) (*quorum.Quorum, error) {
	p.awaitDisk(ctx)
	self := p.Settings.VM.RPCAddress
	peers := make(map[string]string)
	joining := true
	for _, address := range initial {
		peers[host(address)] = address
		joining = joining && address != self
	}
	if joining {
		peers = nil
	}
	q, err := quorum.Start(quorum.Options{
		Name: host(self), DataDir: p.Settings.Formation.DataDir, RPCAddress: self, Peers: peers, Joining: joining,
		StateMachine: sm, Log: p.Log, Dial: p.dial, Metrics: p.registry,
	})
	if err != nil {
		return nil, fmt.Errorf("formation.data_dir: %w", err)
	}
	p.duty("quorum", func() error {
		<-q.Stopped()
		return q.Failure()
	})
	return q, nil
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// minVoters is the number of replicas that tolerate the deployment's losses.
func (p *process) minVoters() int { return 2*p.Settings.Formation.TolerateLosses + 1 }
