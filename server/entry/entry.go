// Package entry implements the entry role of a VM, which serves callers. For each request,
// it authenticates the caller, checks the organisation's rate limit, begins the call in its
// program, places the request on a target, relays the response and records the outcome.
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

// Programs gives access to the state of programs, which the owners of the shards keep.
type Programs interface {
	// Begin waits until the program can run the call and records its start.
	Begin(ctx context.Context, c program.BeginCall) (program.BeginResult, error)
	// Finish records the outcome of a call.
	Finish(ctx context.Context, f program.FinishCall) error
	// End ends a program and releases its engine memory.
	End(ctx context.Context, ref program.Ref) error
	// History returns a program's history, one line of JSON per call.
	History(ctx context.Context, ref program.Ref) ([]byte, error)
	// Quarantined reports whether requests with this fingerprint crashed too many
	// targets.
	Quarantined(ctx context.Context, organisation string, fingerprint uint64) (bool, error)
	// ReportCrash records that a target crashed while it ran a request.
	ReportCrash(ctx context.Context, organisation string, fingerprint uint64, target string) error
	// ClearQuarantine allows requests with this fingerprint to run again.
	ClearQuarantine(ctx context.Context, organisation string, fingerprint uint64) error
}

// Limiter enforces the rates and bursts of organisations across the fleet.
type Limiter interface {
	// Acquire acquires n requests from the rate limit of an organisation under a profile.
	Acquire(ctx context.Context, organisation, profile string, n float64) (limits.Decision, error)
	// RecordUsage adds to the organisation's counter of used tokens.
	RecordUsage(organisation string, tokens int64)
}

// Targets is this VM's view of the targets.
type Targets interface {
	// Candidates returns the targets that can currently take a request for the model
	// from the program.
	Candidates(service, model string, ref program.Ref) []placement.Candidate
	// Address returns a target's address, and whether the target is known.
	Address(id string) (string, bool)
	// Dispatched and Completed count the requests and tokens that this VM has dispatched
	// to a target. load is the target's report in the response; nil if there is none.
	Dispatched(id string, tokens int64)
	Completed(id string, tokens int64, load *target.Load)
	// Failed marks a target as suspect for a limited time.
	Failed(id string)
	// Views returns all known targets, for operators.
	Views() []target.View
	// Order sends an order to a target through the owner of the target's shard.
	Order(ctx context.Context, id string, o target.Order) error
}

// Configuration is this VM's copy of the fleet's configuration.
type Configuration interface {
	// State returns the configuration, and whether this VM's lease is valid.
	State() (*fleet.State, bool)
	// FleetTokens returns the sum of the token counters of all organisations.
	FleetTokens() int64
}

// Options holds the dependencies of an Entry.
type Options struct {
	// Settings are the settings of the process.
	Settings settings.Settings
	// Self identifies this VM and its incarnation.
	Self fleet.VMRef
	// Configuration is this VM's copy of the fleet's configuration.
	Configuration Configuration
	// Programs gives access to the state of programs.
	Programs Programs
	// Limiter enforces the rates and bursts of organisations.
	Limiter Limiter
	// Targets is this VM's view of the targets.
	Targets Targets
	// Policy holds the parameters of placement.
	Policy placement.Policy
	// Metrics is the registry that receives the metrics of calls.
	Metrics gometrics.Registry
	// Log receives one line per event.
	Log *logrus.Entry
}

// Entry handles the requests of callers and operators on one VM. It is safe for
// concurrent use.
type Entry struct {
	Options
	client        *targetClient
	metrics       *callMetrics
	activeCalls   *activeCalls
	placementSeed atomic.Uint64

	entitlements entitlements
	rateRefusals recentRateRefusals

	draining atomic.Bool
	inFlight sync.WaitGroup // requests, dispatches and records of outcomes
}

// New returns an Entry that uses o. Mount adds its routes to a router.
func New(o Options) *Entry {
	return &Entry{
		Options:     o,
		client:      newTargetClient(),
		metrics:     newCallMetrics(o.Metrics),
		activeCalls: newActiveCalls(),
	}
}

// Mount registers the routes of callers and operators and the handlers of unknown paths
// and methods.
func (e *Entry) Mount(r *mux.Router) {
	r.HandleFunc("/v1/entries", e.serveEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/programs/{id:.+}/history", e.serveHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/programs/{id:.+}", e.serveEndProgram).Methods(http.MethodDelete)
	r.HandleFunc("/v1/targets", e.operatorHandler(e.serveTargets)).Methods(http.MethodGet)
	r.HandleFunc("/v1/targets/{id}/orders", e.operatorHandler(e.serveOrder)).Methods(http.MethodPost)
	r.HandleFunc("/v1/quarantine/{organisation}/{fingerprint}", e.operatorHandler(e.serveClearQuarantine)).Methods(http.MethodDelete)
	r.PathPrefix("/services/{service}").HandlerFunc(e.serveService)
	r.NotFoundHandler = problemHandler("not_found")
	r.MethodNotAllowedHandler = problemHandler("method_not_allowed")
}

// problemHandler returns a handler that refuses every request with a problem code.
func problemHandler(code string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newProblem(code, ExecutedNo, "%s %s", r.Method, r.URL.Path).write(w)
	})
}

// revocationInterval is the interval at which running calls are checked against the
// configuration. A withdrawn key must stop working within 3 s.
const revocationInterval = 100 * time.Millisecond

// leaseGrace is the time for which running calls continue after the lease has lapsed. It
// allows them to finish if control renews the lease slightly late.
const leaseGrace = 500 * time.Millisecond

// Run cancels running calls whose key is withdrawn, and all calls once the VM's lease has
// lapsed for leaseGrace. It returns when ctx ends.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(revocationInterval)
	defer ticker.Stop()
	var lapsedSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			state, leaseValid := e.Configuration.State()
			if leaseValid {
				lapsedSince = time.Time{}
			} else if lapsedSince.IsZero() {
				lapsedSince = now
			}
			leaseLapsed := !lapsedSince.IsZero() && now.Sub(lapsedSince) >= leaseGrace
			e.activeCalls.cancelRevoked(state, leaseLapsed)
		}
	}
}

// Drain removes this VM from the lists of entries that it returns. It then waits until
// the lists that name this VM have expired at the callers, and until no request runs.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.Log.WithField("event", "drain_started").Info("draining: waiting until callers no longer use this entry")
	timer := time.NewTimer(e.Settings.Entry.AddressLifetime() + maxConfigurationAge)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	idle := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maxConfigurationAge is the time for which another entry may run with an outdated
// configuration and therefore still list this VM for callers.
const maxConfigurationAge = 3 * time.Second
