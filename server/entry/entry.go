// Package entry is the role that serves callers: it authenticates a request,
// checks the organisation's rate, takes the program's turn, places the request
// on a target, streams the answer and settles the outcome.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/coord/placement"
	"hemlockvale.dev/coord/program"
	"hemlockvale.dev/coord/target"
	"hemlockvale.dev/server/limits"
	"hemlockvale.dev/server/settings"
)

// Programs owns the state of programs across the fleet.
type Programs interface {
	// Begin takes the program's turn and writes the call's record.
	Begin(ctx context.Context, c program.BeginCall) (program.BeginResult, error)
	// Finish settles a call.
	Finish(ctx context.Context, f program.FinishCall) error
	// End ends a program and releases its engine memory.
	End(ctx context.Context, ref program.Ref) error
	// History returns one JSON line for each turn.
	History(ctx context.Context, ref program.Ref) ([]byte, error)
	// Quarantined says whether an equal request took too many targets down.
	Quarantined(ctx context.Context, organisation string, fingerprint uint64) (bool, error)
	// ReportCrash records that a target failed while it ran a request.
	ReportCrash(ctx context.Context, organisation string, fingerprint uint64, target string) error
	// ClearQuarantine lets a request run again.
	ClearQuarantine(ctx context.Context, organisation string, fingerprint uint64) error
}

// Limiter enforces the rate and burst of organisations across the fleet.
type Limiter interface {
	// Acquire takes n requests from the rates of an organisation and a profile.
	Acquire(ctx context.Context, organisation, profile string, n float64) (limits.Decision, error)
	// RecordUsage counts the tokens that an organisation used.
	RecordUsage(organisation string, tokens int64)
}

// Targets is this VM's view of the targets.
type Targets interface {
	// Candidates returns the targets that may get a request now.
	Candidates(service, model string, ref program.Ref) []placement.Candidate
	// Address returns where a target is reached.
	Address(id string) (string, bool)
	// Dispatched and Completed keep the count of requests under way.
	Dispatched(id string, tokens int64)
	Completed(id string, tokens int64, load *target.Load)
	// Failed makes a target a suspect for a while.
	Failed(id string)
	// Views returns all known targets, for operators.
	Views() []target.View
	// Order gives a target an order through the owner of its shard.
	Order(ctx context.Context, id string, o target.Order) error
}

// Configuration is this VM's copy of the fleet's configuration.
type Configuration interface {
	// State returns the configuration, and whether this VM's lease still holds.
	State() (*fleet.State, bool)
	// FleetTokens returns the sum of the token counters of all organisations.
	FleetTokens() int64
}

// Options are the parts that an entry is assembled from.
type Options struct {
	// Settings are those of the process.
	Settings settings.Settings
	// Self is this run of the VM.
	Self fleet.VMRef
	// Configuration is this VM's copy of the fleet's configuration.
	Configuration Configuration
	// Programs owns the state of programs across the fleet.
	Programs Programs
	// Limiter enforces rates and bursts across the fleet.
	Limiter Limiter
	// Targets is this VM's view of the targets.
	Targets Targets
	// Policy holds the constants of placement.
	Policy placement.Policy
	// Registry receives the metrics.
	Registry gometrics.Registry
	// Log receives one line for each event.
	Log *logrus.Entry
}

// Entry serves callers.
type Entry struct {
	Options
	client  *targetClient
	metrics *callMetrics
	active  *activeCalls
	seed    atomic.Uint64

	entitlements entitlements
	refusals     recentRefusals

	draining atomic.Bool
	running  sync.WaitGroup
}

// New returns an entry; Mount makes it reachable.
func New(o Options) *Entry {
	return &Entry{
		Options: o,
		client:  newTargetClient(),
		metrics: newCallMetrics(o.Registry),
		active:  newActiveCalls(),
	}
}

// Mount registers the callers' routes.
func (e *Entry) Mount(r *mux.Router) {
	r.HandleFunc("/v1/entries", e.serveEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/programs/{id:.+}/history", e.serveHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/programs/{id:.+}", e.serveEndProgram).Methods(http.MethodDelete)
	r.HandleFunc("/v1/targets", e.operator(e.serveTargets)).Methods(http.MethodGet)
	r.HandleFunc("/v1/targets/{id}/orders", e.operator(e.serveOrder)).Methods(http.MethodPost)
	r.HandleFunc("/v1/quarantine/{organisation}/{fingerprint}", e.operator(e.serveClearQuarantine)).Methods(http.MethodDelete)
	r.PathPrefix("/services/{service}").HandlerFunc(e.serveService)
	r.NotFoundHandler = problemHandler("not_found")
	r.MethodNotAllowedHandler = problemHandler("method_not_allowed")
}

func problemHandler(code string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(code, ExecutedNo, "%s %s", r.Method, r.URL.Path).write(w)
	})
}

// revocationInterval is how often open calls are checked against the
// configuration; a withdrawn key must stop working within 3 s.
const revocationInterval = 100 * time.Millisecond

// leaseGrace is how long open calls outlive a lapsed lease. A call that was
// accepted under the lease may still finish when control answers a little late.
const leaseGrace = 500 * time.Millisecond

// Run ends open calls whose key was withdrawn or whose VM lost its lease.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(revocationInterval)
	defer ticker.Stop()
	var lapsedSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			state, held := e.Configuration.State()
			if held {
				lapsedSince = time.Time{}
			} else if lapsedSince.IsZero() {
				lapsedSince = now
			}
			lapsed := !lapsedSince.IsZero() && now.Sub(lapsedSince) >= leaseGrace
			e.active.revoke(state, lapsed)
		}
	}
}

// Drain stops announcing this VM and waits until no caller can still hold an
// answer that names it and no request runs.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.Log.WithField("event", "drain_started").Info("waiting for callers to leave")
	wait := time.NewTimer(e.Settings.Entry.AddressLifetime() + configurationBound)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	idle := make(chan struct{})
	go func() {
		e.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// configurationBound is how long another entry may go on without the latest
// configuration and so may still name this VM to callers.
const configurationBound = 3 * time.Second
