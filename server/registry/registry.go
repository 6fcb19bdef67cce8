// Package registry implements the control role of a deployment that forms from a few
// seed addresses, and the followers of the catalog on the other VMs. Control VMs
// replicate the catalog (configuration, targets, members of the store group), send its
// changes to all other VMs, and tell callers the addresses of entries.
//
// Every entry and store VM keeps a watch open at every control VM. The watch is the
// heartbeat that keeps the VM listed, and it delivers changes without delay. A VM adopts
// the highest revision that any control VM offers, so it stays up to date as long as it
// reaches one control VM that follows the leader.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/periodic"
	"hemlockvale.dev/server/quorum"
	"hemlockvale.dev/server/rpc"
)

const (
	// proposeTimeout bounds one attempt to commit a command.
	proposeTimeout = 900 * time.Millisecond
	// MaxWatchTimeout bounds the time until the response to a watch.
	MaxWatchTimeout = time.Second
	// minWatchTimeout and watchTimeoutPerVM determine the watch timeout, which is
	// watchTimeoutPerVM for each VM that reports, within minWatchTimeout and
	// MaxWatchTimeout. A timeout that grows with the deployment bounds the load of a
	// control VM; a short timeout in a small deployment detects a hung entry early.
	minWatchTimeout   = 300 * time.Millisecond
	watchTimeoutPerVM = 9 * time.Millisecond
	// changeDelayPerVM and maxChangeDelay determine how long a control VM collects further
	// changes before it tells the VMs that watch it. In a large deployment many targets
	// change at almost the same time, and each message costs traffic between data centres.
	changeDelayPerVM = 300 * time.Microsecond
	maxChangeDelay   = 200 * time.Millisecond
	// membersValidity is how long a computed list of members is reused.
	membersValidity = 50 * time.Millisecond
	// missedWatches and reportMargin determine the time without a report after which
	// a VM is no longer listed: missedWatches watch timeouts plus reportMargin.
	missedWatches = 2
	reportMargin  = 250 * time.Millisecond
	// listingDelay is how long a control VM collects reports after its start before
	// it lists entries.
	listingDelay = 1200 * time.Millisecond
	// formationDelay is how long the leader waits for further store VMs after the
	// first one before it forms the store group.
	formationDelay = 1500 * time.Millisecond
	// leaderTaskInterval is the time between two runs of the leader's tasks.
	leaderTaskInterval = 100 * time.Millisecond
)

// Options configures a Registry.
type Options struct {
	// Quorum replicates the catalog.
	Quorum *quorum.Quorum
	// Machine is the state machine of Quorum.
	Machine *Machine
	// Pool holds the RPC connections to the other VMs.
	Pool *rpc.Pool
	// AddressLifetime is how long callers may use a list of entries.
	AddressLifetime time.Duration
	// TolerateLosses is the number of VMs with a disk that may be lost at the same
	// time.
	TolerateLosses int
	// Seeds returns the RPC addresses of control VMs in the settings.
	Seeds func() []string
	// Log receives the registry's events.
	Log *logrus.Entry
	// Metrics receives the counters of orders about data centres.
	Metrics gometrics.Registry
}

// Machine is the replicated state machine of a control VM.
type Machine struct{ *machine }

// NewMachine returns a state machine with an empty catalog.
func NewMachine() *Machine { return &Machine{newMachine()} }

// Registry is the control service of a control VM. It is safe for concurrent use.
type Registry struct {
	options Options
	started time.Time
	// heartbeats are those that targets have sent to this VM.
	heartbeats heartbeatLog
	// retireMu is held while a retirement is checked and committed.
	retireMu sync.Mutex

	mu sync.Mutex
	// reports holds the latest report of each VM, by VM id.
	reports map[string]*vmReport
	// firstStoreReport is the time of the first report of any store VM.
	firstStoreReport time.Time
	// cachedMembers holds the members as last computed.
	cachedMembers cachedMembers
}

// cachedMembers is a list of members with its digest.
type cachedMembers struct {
	Members
	digest     uint64
	entries    int
	computedAt time.Time
}

// vmReport is the latest report of a VM.
type vmReport struct {
	VM
	receivedAt time.Time
	// ended holds the starts of earlier incarnations, the latest last.
	ended []int64
	// evacuations is the revision of the evacuated data centres that the VM holds.
	evacuations uint64
}

// New returns a registry. Run must be called for the leader's tasks.
func New(options Options) *Registry {
	return &Registry{options: options, started: time.Now(), reports: make(map[string]*vmReport)}
}

// Register registers the RPC methods with the server.
func (g *Registry) Register(s *rpc.Server) {
	s.Handle(MethodWatch, g.handleWatch)
	s.Handle(MethodFetch, g.handleFetch)
	s.Handle(MethodPropose, g.handlePropose)
	s.Handle(MethodDocument, g.handleDocument)
	s.Handle(MethodRetire, g.handleRetire)
	s.Handle(MethodEntries, g.handleEntries)
	s.Handle(MethodWithdraw, g.handleWithdraw)
	s.Handle(MethodHeartbeats, g.handleHeartbeats)
	s.Handle(MethodEvacuations, g.handleEvacuations)
}

// Run runs the leader's tasks, while this VM is the leader, until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	periodic.Every(ctx, leaderTaskInterval, func() {
		if _, _, self := g.options.Quorum.Leader(); self {
			g.formStores(ctx)
			g.recordStores(ctx)
			g.finishRetirements(ctx)
		}
	})
}

// ErrUnavailable reports that no quorum confirmed the request. The request may have
// taken effect. It may be retried.
var ErrUnavailable = errors.New("no quorum of control VMs confirmed the request")

// PutConfiguration commits a configuration and its document. It returns
// routing.Findings if the configuration is not valid. A configuration whose version is
// not higher changes nothing, and the result is nil.
func (g *Registry) PutConfiguration(ctx context.Context, c routing.Configuration, document []byte) error {
	if findings := c.Validate(); len(findings) > 0 {
		return findings
	}
	return g.commit(ctx, catalog.Command{PutConfiguration: &catalog.PutConfiguration{Configuration: c, Document: document}})
}

// ErrInvalidTarget reports an announcement that describes no target that could be used.
var ErrInvalidTarget = errors.New("announcement is invalid")

// Announce records the announcement of a target that states to stay cold for coldLeft; 0 if it is
// warm. It returns when the change is committed, at once if nothing has changed, or
// ErrInvalidTarget.
func (g *Registry) Announce(ctx context.Context, t catalog.Target, coldLeft time.Duration) error {
	if err := t.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidTarget, err)
	}
	g.heartbeats.record(time.Now(), t)
	wouldChange := false
	g.options.Machine.read(func(s *catalog.State) {
		t = stampCold(s, t, coldLeft, time.Now().UnixMilli())
		wouldChange = s.WouldChange(t)
	})
	if !wouldChange {
		return nil
	}
	return g.commit(ctx, catalog.Command{PutTarget: &t})
}

// Document returns the document of the latest configuration. The leader reads it after
// a quorum has confirmed its leadership during the call.
func (g *Registry) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, address, self := g.options.Quorum.Leader()
	if self {
		return g.localDocument(ctx)
	}
	if address == "" {
		return nil, ErrUnavailable
	}
	var response DocumentResponse
	if err := g.options.Pool.Call(ctx, address, MethodDocument, struct{}{}, &response); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return response.Document, nil
}

// localDocument returns the document that this VM holds, if this VM is the leader.
func (g *Registry) localDocument(ctx context.Context) ([]byte, error) {
	if err := g.options.Quorum.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var document []byte
	g.options.Machine.read(func(s *catalog.State) { document = s.Document })
	return document, nil
}

// commit proposes a command on this VM if it is the leader, and otherwise through the
// leader.
func (g *Registry) commit(ctx context.Context, c catalog.Command) error {
	data, err := encodeCommand(c)
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, address, self := g.options.Quorum.Leader()
	switch {
	case self:
		err = g.propose(ctx, data)
	case address == "":
		return ErrUnavailable
	default:
		err = g.options.Pool.Call(ctx, address, MethodPropose, ProposeRequest{data}, nil)
	}
	if errors.Is(err, catalog.ErrTooManyEvacuations) || rpc.CodeOf(err) == CodeTooManyEvacuations {
		return catalog.ErrTooManyEvacuations
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// propose commits an encoded command on this VM. It returns catalog.ErrTooManyEvacuations if
// the state machine has rejected the command for that reason.
func (g *Registry) propose(ctx context.Context, data []byte) error {
	result, err := g.options.Quorum.Propose(ctx, data)
	if rejected, ok := result.(error); ok && errors.Is(rejected, catalog.ErrTooManyEvacuations) {
		return rejected
	}
	return err
}

// handlePropose commits a command that another control VM sent.
func (g *Registry) handlePropose(ctx context.Context, params json.RawMessage) (any, error) {
	var r ProposeRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "propose: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := g.propose(ctx, r.Command)
	switch {
	case errors.Is(err, catalog.ErrTooManyEvacuations):
		return nil, rpc.Errorf(CodeTooManyEvacuations, "%v", err)
	case err != nil:
		return nil, rpc.Errorf(CodeUnavailable, "%v", err)
	}
	return struct{}{}, nil
}

func (g *Registry) handleDocument(ctx context.Context, _ json.RawMessage) (any, error) {
	document, err := g.localDocument(ctx)
	if err != nil {
		return nil, rpc.Errorf(CodeUnavailable, "%v", err)
	}
	return DocumentResponse{document}, nil
}

// formStores commits the initial members of the store group when enough store VMs have
// reported, or when formationDelay has passed since the first one reported.
func (g *Registry) formStores(ctx context.Context) {
	formed := false
	g.options.Machine.read(func(s *catalog.State) { formed = len(s.Stores) > 0 })
	if formed {
		return
	}
	g.mu.Lock()
	firstReport := g.firstStoreReport
	g.mu.Unlock()
	vms := g.liveVMs("store")
	wanted := 2*g.options.TolerateLosses + 1
	if len(vms) == 0 || (len(vms) < wanted && time.Since(firstReport) < formationDelay) {
		return
	}
	var members []catalog.Store
	for _, vm := range selectAcrossDataCentres(vms, wanted) {
		members = append(members, catalog.Store{Node: vm.Node, Address: vm.RPCAddress})
	}
	err := g.commit(ctx, catalog.Command{FormStores: members})
	g.options.Log.WithFields(logrus.Fields{"event": "stores_formed", "members": len(members), "reporting": len(vms), "error": err}).Info("initial members of the store group proposed")
}

// selectAcrossDataCentres returns up to n VMs from as many data centres as possible.
func selectAcrossDataCentres(vms []VM, n int) []VM {
	// nextRound holds, by data centre, the next round in which a VM may be selected.
	nextRound := make(map[string]int)
	var selected []VM
	for round := 0; len(selected) < min(n, len(vms)); round++ {
		for _, vm := range vms {
			if nextRound[vm.DataCentre] == round && len(selected) < n && !slices.Contains(selected, vm) {
				nextRound[vm.DataCentre]++
				selected = append(selected, vm)
			}
		}
		for dc := range nextRound {
			nextRound[dc] = round + 1
		}
	}
	return selected
}
