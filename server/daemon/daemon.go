// Package daemon runs the entry and control roles of a process that is configured by
// settings.Settings.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/server/graceful"
	"hemlockvale.dev/server/metrics"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
)

const (
	// dialTimeout bounds a connection attempt to another VM. The network latency between
	// VMs is a few milliseconds.
	dialTimeout = 500 * time.Millisecond
	// readHeaderTimeout bounds the time in which a client must send the header of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 2 * time.Minute
)

// Run runs the role that s.VM.Role selects until ctx ends or a background task fails. When
// ctx ends, Run performs a planned stop, which lets requests in progress finish.
func Run(ctx context.Context, s settings.Settings, log *logrus.Entry) error {
	switch s.VM.Role {
	case "control":
		return runControl(ctx, s, log)
	case "entry":
		return runEntry(ctx, s, log)
	}
	return fmt.Errorf("unknown role %q", s.VM.Role)
}

// process holds what both roles share: the listeners, the servers, the RPC connection pool
// and the metrics.
type process struct {
	settings settings.Settings
	log      *logrus.Entry
	metrics  gometrics.Registry
	pool     *rpc.Pool
	rpc      *rpc.Server
	router   *mux.Router
	http     *http.Server
	conns    *graceful.Conns
	tasks    taskGroup

	rpcListener, httpListener net.Listener
}

// newProcess opens the listeners and creates the servers. serve starts them.
func newProcess(s settings.Settings, log *logrus.Entry) (*process, error) {
	rpcListener, err := net.Listen("tcp", s.VM.RPCAddress)
	if err != nil {
		return nil, fmt.Errorf("vm.rpc_address: %w", err)
	}
	httpListener, err := net.Listen("tcp", s.VM.HTTPAddress)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("vm.http_address: %w", err), rpcListener.Close())
	}
	p := &process{
		settings:     s,
		log:          log,
		metrics:      gometrics.NewRegistry(),
		pool:         rpc.NewPool(dialTimeout),
		rpc:          rpc.NewServer(log),
		router:       mux.NewRouter().UseEncodedPath().SkipClean(true),
		rpcListener:  rpcListener,
		httpListener: httpListener,
	}
	for name, read := range map[string]func() int64{
		metrics.Name("rpc_bytes", "connection", "dialled", "direction", "received"):  p.pool.Traffic().Received.Load,
		metrics.Name("rpc_bytes", "connection", "dialled", "direction", "sent"):      p.pool.Traffic().Sent.Load,
		metrics.Name("rpc_bytes", "connection", "accepted", "direction", "received"): p.rpc.Traffic().Received.Load,
		metrics.Name("rpc_bytes", "connection", "accepted", "direction", "sent"):     p.rpc.Traffic().Sent.Load,
	} {
		gometrics.NewRegisteredFunctionalGauge(name, p.metrics, read)
	}
	p.router.Handle("/metrics", metrics.Handler(p.metrics)).Methods(http.MethodGet)
	p.http = &http.Server{Handler: p.router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	p.conns = graceful.Track(p.http)
	return p, nil
}

// serve starts the servers. All handlers must be registered before the call.
func (p *process) serve() {
	p.tasks.start("rpc_server", func() error { return p.rpc.Serve(p.rpcListener) })
	p.tasks.start("http_server", func() error {
		if err := p.http.Serve(p.httpListener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	if address := p.settings.Log.ProfileAddress; address != "" {
		p.tasks.start("profile_server", func() error { return serveProfiles(address) })
	}
	p.log.WithFields(logrus.Fields{
		"event": "started", "role": p.settings.VM.Role, "data_centre": p.settings.VM.DataCentre,
		"rpc": p.settings.VM.RPCAddress, "http": p.settings.VM.HTTPAddress,
	}).Info("process started")
}

// serveProfiles serves CPU and memory profiles on a separate address, which callers do not
// use.
func serveProfiles(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return server.ListenAndServe()
}

// close waits for the HTTP requests in progress and closes all listeners and connections.
func (p *process) close() error {
	shutdown := p.conns.Stop(context.Background())
	return errors.Join(shutdown, p.rpc.Close(), p.pool.Close())
}

// taskGroup runs background tasks and keeps the first error.
type taskGroup struct {
	// failure buffers the first error.
	failure chan error
}

// start runs a task in its own goroutine.
func (g *taskGroup) start(name string, run func() error) {
	if g.failure == nil {
		g.failure = make(chan error, 1)
	}
	go func() {
		if err := run(); err != nil {
			select {
			case g.failure <- fmt.Errorf("%s: %w", name, err):
			default:
			}
		}
	}()
}

// wait blocks until ctx ends or a task fails. It returns the error of the task.
func (g *taskGroup) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-g.failure:
		return err
	}
}
