// Package daemon assembles the roles of hemlockvaled from their parts.
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

	"hemlockvale.dev/server/metrics"
	"hemlockvale.dev/server/rpc"
	"hemlockvale.dev/server/settings"
)

const (
	// dialTimeout bounds a connection attempt to another VM; VMs are a few milliseconds apart.
	dialTimeout = 500 * time.Millisecond
	// readHeaderTimeout bounds the time in which a client sends its header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes a kept connection that no request uses.
	idleTimeout = 2 * time.Minute
)

// Run runs the role that the settings name until ctx ends, then stops it
// without cutting a request short.
func Run(ctx context.Context, s settings.Settings, log *logrus.Entry) error {
	switch s.VM.Role {
	case "control":
		return runControl(ctx, s, log)
	case "entry":
		return runEntry(ctx, s, log)
	}
	return fmt.Errorf("unknown role %q", s.VM.Role)
}

// process is what both roles share: the listeners, the RPC server and pool,
// and the metrics.
type process struct {
	settings settings.Settings
	log      *logrus.Entry
	registry gometrics.Registry
	pool     *rpc.Pool
	rpc      *rpc.Server
	router   *mux.Router
	http     *http.Server
	duties   dutyGroup

	rpcListener, httpListener net.Listener
}

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
		registry:     gometrics.NewRegistry(),
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
		gometrics.NewRegisteredFunctionalGauge(name, p.registry, read)
	}
	p.router.Handle("/metrics", metrics.Handler(p.registry)).Methods(http.MethodGet)
	p.http = &http.Server{Handler: p.router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return p, nil
}

// serve starts answering; everything must be registered before.
func (p *process) serve() {
	p.duties.start("rpc_server", func() error { return p.rpc.Serve(p.rpcListener) })
	p.duties.start("http_server", func() error {
		if err := p.http.Serve(p.httpListener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	if address := p.settings.Log.ProfileAddress; address != "" {
		p.duties.start("profile_server", func() error { return serveProfiles(address) })
	}
	p.log.WithFields(logrus.Fields{
		"event": "started", "role": p.settings.VM.Role, "data_centre": p.settings.VM.DataCentre,
		"rpc": p.settings.VM.RPCAddress, "http": p.settings.VM.HTTPAddress,
	}).Info("process started")
}

// serveProfiles serves CPU and memory profiles on an address of its own, apart from callers.
func serveProfiles(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return server.ListenAndServe()
}

// close ends the listeners and connections once no request needs them.
func (p *process) close() error {
	shutdown := p.http.Shutdown(context.Background())
	return errors.Join(shutdown, p.rpc.Close(), p.pool.Close())
}

// dutyGroup runs goroutines that each have one duty; the first failure is kept.
type dutyGroup struct {
	failed chan error
}

// start runs a duty in its own goroutine.
func (g *dutyGroup) start(name string, run func() error) {
	if g.failed == nil {
		g.failed = make(chan error, 1)
	}
	go func() {
		if err := run(); err != nil {
			select {
			case g.failed <- fmt.Errorf("%s: %w", name, err):
			default:
			}
		}
	}()
}

// wait returns when ctx ends or a duty fails.
func (g *dutyGroup) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-g.failed:
		return err
	}
}
