// Package node runs one process of a deployment whose VMs find each other through
// seed addresses. The process has one role: entry, control or store.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/memquota"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/forward"
	"hemlockvale.dev/server/graceful"
	"hemlockvale.dev/server/inbound"
	"hemlockvale.dev/server/metrics"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
	"hemlockvale.dev/server/wal"
)

const (
	// dialTimeout bounds a connection attempt to another VM. VMs are a few
	// milliseconds apart.
	dialTimeout = 200 * time.Millisecond
	// readHeaderTimeout bounds the time in which another VM sends the header of a request.
	readHeaderTimeout = 10 * time.Second
	// reloadInterval is the time between two checks whether the settings file has changed.
	reloadInterval = time.Second
	// memoryLimitFraction is the part of the memory of the process, as set by
	// vm.memory_mb, that is the soft memory limit of the Go runtime. Above this limit, the
	// garbage collector runs more often.
	memoryLimitFraction = 0.6
	// diskRetryInterval is the time between two attempts to write to the data directory
	// while it rejects writes.
	diskRetryInterval = 300 * time.Millisecond
	// closeTimeout bounds the shutdown of the HTTP servers of a control VM, which serve
	// targets, operators and address lookups.
	closeTimeout = 500 * time.Millisecond
)

// Adapter translates between the types of the product and the protocols of callers,
// targets and operators.
type Adapter interface {
	// HeaderCodec translates the headers of callers and targets.
	HeaderCodec() forward.HeaderCodec
	// Ready returns a handler that responds with success while ready returns true, and
	// with an error status otherwise.
	Ready(ready func() bool) http.Handler
	// Control returns the handler for targets and operators.
	Control(reg *registry.Registry, log *logrus.Entry) http.Handler
	// Directory returns the handler for callers that look up the addresses of entries.
	Directory(reg *registry.Registry, log *logrus.Entry) http.Handler
}

// Options holds the configuration and the dependencies of a process.
type Options struct {
	// Settings are the validated settings at the start. Path is the settings file; it is
	// read again when it changes.
	Settings settings.Node
	Path     string
	// Adapter provides the protocols of callers, targets and operators.
	Adapter Adapter
	// Log receives events.
	Log *logrus.Entry
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() int64
	// Reload receives a signal when the settings file is to be read again at once; nil if it
	// is read only when it changes.
	Reload <-chan os.Signal
}

// process holds the state that all roles share.
type process struct {
	Options
	// current holds the settings of the last successful load.
	current atomic.Pointer[settings.Node]
	// startedUnixNano is the start of the process in nanoseconds of Unix time.
	startedUnixNano int64
	// guard bounds what callers can take of the process. limits returns the limits of the
	// configuration; it is nil until the role knows it.
	guard   *inbound.Guard
	limits  atomic.Pointer[func() routing.Limits]
	pool    *rpc.Pool
	rpc     *rpc.Server
	metrics gometrics.Registry
	// failures receives the errors of background tasks.
	failures chan error
}

// Run runs the role that the settings name until ctx ends or a background task fails, and
// then performs a planned stop.
func Run(ctx context.Context, o Options) error {
	p := &process{
		Options: o, startedUnixNano: time.Now().UnixNano(), pool: rpc.NewPool(dialTimeout), rpc: rpc.NewServer(o.Log),
		metrics: gometrics.NewRegistry(), failures: make(chan error, 8),
	}
	p.current.Store(&o.Settings)
	if limit := memoryLimit(o.Settings.VM.MemoryMB); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	listener, err := net.Listen("tcp", cmp.Or(o.Settings.VM.RPCListen, o.Settings.VM.RPCAddress))
	if err != nil {
		return fmt.Errorf("vm.rpc_listen: %w", err)
	}
	p.guard = newGuard(p)
	listener = p.guard.Listener("vm.rpc_listen", rpcPercent[o.Settings.VM.Role], listener)
	p.startTask("rpc_server", func() error { return p.rpc.Serve(listener) })
	if err := p.serveMetrics(); err != nil {
		return err
	}
	go p.watchSettings(ctx)
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

// memoryLimit returns the soft memory limit of the Go runtime for vm.memory_mb; 0 means none.
func memoryLimit(memoryMB int64) int64 {
	return int64(float64(memoryMB<<20) * memoryLimitFraction)
}

// memoryQuota returns the bytes that an entry may buffer on behalf of others.
func memoryQuota(vm settings.NodeVM) int64 {
	if vm.BufferQuotaMB > 0 {
		return vm.BufferQuotaMB << 20
	}
	return memquota.Total(vm.MemoryMB << 20)
}

// startTask runs a background task in its own goroutine. An error of the task ends the
// process.
func (p *process) startTask(name string, run func() error) {
	go func() {
		if err := run(); err != nil {
			select {
			case p.failures <- fmt.Errorf("%s: %w", name, err):
			default:
			}
		}
	}()
}

// wait blocks until ctx ends or a background task fails.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.failures:
		return err
	}
}

// serve starts an HTTP server on an address. name identifies the address in errors.
func (p *process) serve(name, address string, h http.Handler) (*http.Server, error) {
	s := &http.Server{Handler: h}
	return s, p.start(name, address, s, nil)
}

// servePeers starts an HTTP server for other VMs, whose connections are counted only.
func (p *process) servePeers(name, address string, h http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	p.serveOn(name, s, p.guard.Listener(name, connectionPercent[name], listener))
	return s, nil
}

// serveGracefully is serve for a server that can be stopped without cutting requests off. wrap
// changes the listener; nil for none.
func (p *process) serveGracefully(name, address string, h http.Handler, wrap func(net.Listener) net.Listener) (*graceful.Conns, error) {
	s := &http.Server{Handler: h}
	conns := graceful.Track(s)
	return conns, p.start(name, address, s, wrap)
}

// start serves on an address until the server is closed. wrap returns a listener that closes
// connections whose peer does not read; nil for the default.
func (p *process) start(name, address string, s *http.Server, wrap func(net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	p.guard.Configure(s, reservesBodies[name])
	p.serveOn(name, s, p.guard.HTTPListener(name, connectionPercent[name], listener, wrap != nil))
	return nil
}

// serveOn serves the connections of a listener until the server is closed.
func (p *process) serveOn(name string, s *http.Server, listener net.Listener) {
	p.startTask(name, func() error {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// serveMetrics registers the metrics of the process and serves all metrics if the
// settings name an address for them.
func (p *process) serveMetrics() error {
	gometrics.NewRegisteredFunctionalGauge("log_lines_dropped", p.metrics, p.DroppedLines)
	gometrics.NewRegisteredFunctionalGauge("rpc_bytes_sent", p.metrics, p.pool.Traffic().Sent.Load)
	gometrics.NewRegisteredFunctionalGauge("rpc_bytes_received", p.metrics, p.pool.Traffic().Received.Load)
	address := p.Settings.VM.MetricsAddress
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler(p.metrics))
	_, err := p.serve("vm.metrics_address", address, mux)
	return err
}

// watchSettings loads the settings again on Options.Reload or when the file has changed. Only
// the seeds take effect in a running process.
func (p *process) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modTime(p.Path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			signalled = true
		case <-ticker.C:
		}
		if modified := modTime(p.Path); signalled || !modified.Equal(lastModified) {
			lastModified = modified
			p.reloadSettings()
		}
	}
}

// modTime returns the modification time of a file, or the zero time if there is none.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings loads the settings file and keeps the previous settings if it is invalid.
func (p *process) reloadSettings() {
	next, findings := settings.LoadNode(p.Path)
	if len(findings) > 0 {
		p.Log.WithField("event", "settings_rejected").WithError(findings.Err()).Warn("changed settings are invalid; the previous settings stay in effect")
		return
	}
	p.current.Store(&next)
	p.Log.WithFields(logrus.Fields{"event": "settings_reloaded", "seeds": fmt.Sprint(next.Formation.Seeds)}).Info("settings reloaded")
}

// seeds returns the RPC addresses of the seeds in the current settings.
func (p *process) seeds() []string { return p.current.Load().SeedAddresses() }

// dial implements quorum.Options.Dial with the connection pool.
func (p *process) dial(_ context.Context, address string) (rpc.Caller, error) {
	return p.pool.CallerFor(address), nil
}

// awaitWritableDisk blocks until the data directory accepts writes or ctx ends. Without
// the wait, a replica on a full disk would end the process again after each restart.
func (p *process) awaitWritableDisk(ctx context.Context) {
	unwritable := false
	for ctx.Err() == nil {
		err := wal.Probe(p.Settings.Formation.DataDir)
		if (err != nil) != unwritable {
			unwritable = err != nil
			p.Log.WithFields(logrus.Fields{"event": "storage", "writable": !unwritable, "error": err}).Warn("data directory changed between writable and not writable")
		}
		if err == nil {
			return
		}
		time.Sleep(diskRetryInterval)
	}
}

// startQuorum starts a replica whose name is the host of its RPC address. A replica whose
// address is not in initialMembers joins an existing quorum.
func (p *process) startQuorum(ctx context.Context, machine quorum.StateMachine, initialMembers []string) (*quorum.Quorum, error) {
	p.awaitWritableDisk(ctx)
	self := p.Settings.VM.RPCAddress
	peers := make(map[string]string)
	joining := true
	for _, address := range initialMembers {
		peers[host(address)] = address
		joining = joining && address != self
	}
	if joining {
		peers = nil
	}
	q, err := quorum.Start(quorum.Options{
		Name: host(self), DataDir: p.Settings.Formation.DataDir, RPCAddress: self, Peers: peers, Joining: joining,
		StateMachine: machine, Log: p.Log, Dial: p.dial, Metrics: p.metrics,
	})
	if err != nil {
		return nil, fmt.Errorf("formation.data_dir: %w", err)
	}
	if joining {
		p.endFormation()
	} else {
		go p.awaitFormation(ctx, q)
	}
	p.startTask("quorum", func() error {
		<-q.Stopped()
		return q.Failure()
	})
	return q, nil
}

// host returns the host of an address, or the address itself if it has no port.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// minVoters returns the number of voters that keeps a majority after the loss of as many
// VMs as the deployment must tolerate.
func (p *process) minVoters() int { return 2*p.Settings.Formation.TolerateLosses + 1 }
