// Package dev runs a small deployment with emulated targets in one process on loopback
// addresses, for evaluation and for the demonstration.
package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hemlockvale.dev/coord/fleet"
	"hemlockvale.dev/server/client"
	"hemlockvale.dev/server/daemon"
	"hemlockvale.dev/server/emulator"
	"hemlockvale.dev/server/settings"
)

// These constants name the objects in the deployment's configuration.
const (
	Organisation  = "valley-pantry"
	Model         = "pickup-chat"
	EngineService = "agent-llm"
	PlainService  = "exchange-app"

	profileName = "valley-pantry-default"
	adminToken  = "development-admin-token"
	region      = "gulf-plains"
)

var dataCentres = []string{"valley-east", "coastal-bend", "border-west"}

const (
	// startTimeout limits the configuration of the deployment and the wait for the
	// entries.
	startTimeout = 30 * time.Second
	// startPollInterval is the time between attempts while the deployment starts.
	startPollInterval = 50 * time.Millisecond
	// addressLifetimeMS is how long callers may use a list of entries, in milliseconds.
	// It is short because it prolongs the planned stop of an entry.
	addressLifetimeMS = 200
)

// Deployment is a deployment that Start has started, with its addresses and credentials.
type Deployment struct {
	// ControlAddress is the HTTP address for operators.
	ControlAddress string
	// EntryAddresses are the HTTP addresses for callers.
	EntryAddresses []string
	// AdminToken authenticates operators.
	AdminToken string
	// Key is an API key of Organisation.
	Key string

	dataDir string
	group   *errgroup.Group
	stop    context.CancelFunc
}

// Start starts one control VM, three entries, two engines and a plain service. It
// configures the deployment and returns when calls through all entries succeed.
func Start(ctx context.Context, log *logrus.Logger) (*Deployment, error) {
	dataDir, err := os.MkdirTemp("", "hemlockvale-dev-")
	if err != nil {
		return nil, err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, runCtx := errgroup.WithContext(runCtx)
	d := &Deployment{AdminToken: adminToken, dataDir: dataDir, group: group, stop: stop}
	if err := d.start(ctx, runCtx, log); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// Stop stops the deployment gracefully, without interrupting requests, and removes its
// data.
func (d *Deployment) Stop() error {
	d.stop()
	return errors.Join(d.group.Wait(), os.RemoveAll(d.dataDir))
}

// Admin returns a client of the operators' API.
func (d *Deployment) Admin() *client.Admin {
	return &client.Admin{Addresses: []string{d.ControlAddress}, Token: d.AdminToken}
}

// start starts all VMs and targets until runCtx ends, and configures the deployment. ctx
// limits the start only.
func (d *Deployment) start(ctx, runCtx context.Context, log *logrus.Logger) error {
	vms, err := d.vmSettings()
	if err != nil {
		return err
	}
	for _, s := range vms {
		d.group.Go(func() error { return daemon.Run(runCtx, s, log.WithField("vm", s.VM.ID)) })
	}
	if err := d.startTargets(runCtx, log); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := retryUntil(ctx, func() error { return d.Admin().Apply(ctx, configuration()) }); err != nil {
		return fmt.Errorf("apply the configuration: %w", err)
	}
	key, err := d.Admin().IssueKey(ctx, Organisation, "development", uuid.NewString())
	if err != nil {
		return fmt.Errorf("issue a key: %w", err)
	}
	d.Key = key.Secret
	if err := retryUntil(ctx, func() error { return d.callEntries(ctx) }); err != nil {
		return fmt.Errorf("wait for the entries: %w", err)
	}
	return nil
}

// callEntries makes one call through each entry and fails if one of them fails.
func (d *Deployment) callEntries(ctx context.Context) error {
	for _, address := range d.EntryAddresses {
		caller := client.Caller{Address: address, Key: d.Key}
		request := client.ChatRequest{Model: Model, MaxTokens: 1, Messages: []client.Message{{Role: "user", Content: "ready? " + uuid.NewString()}}}
		if _, err := caller.Chat(ctx, request, nil); err != nil {
			return err
		}
	}
	return nil
}

// vmSettings returns the settings of all VMs and sets the addresses of the deployment.
func (d *Deployment) vmSettings() ([]settings.Settings, error) {
	addresses, err := freeAddresses(2 * (1 + len(dataCentres)))
	if err != nil {
		return nil, err
	}
	d.ControlAddress = addresses[1]
	base := settings.Default()
	base.Deployment.Name = "development"
	base.Deployment.DataCentres = dataCentres
	base.Control = settings.Control{Members: map[string]string{"control-1": addresses[0]}}
	base.Entry.AddressLifetimeMS = addressLifetimeMS

	control := base
	control.VM = settings.VM{ID: "control-1", Role: "control", Region: region, DataCentre: dataCentres[0], RPCAddress: addresses[0], HTTPAddress: addresses[1]}
	control.Control.DataDir = filepath.Join(d.dataDir, "control-1")
	control.Control.AdminToken = adminToken
	vms := []settings.Settings{control}
	for i, dataCentre := range dataCentres {
		entry := base
		entry.VM = settings.VM{
			ID: fmt.Sprintf("entry-%d", i+1), Role: "entry", Region: region, DataCentre: dataCentre,
			RPCAddress: addresses[2*i+2], HTTPAddress: addresses[2*i+3],
		}
		d.EntryAddresses = append(d.EntryAddresses, entry.VM.HTTPAddress)
		vms = append(vms, entry)
	}
	return vms, nil
}

// startTargets starts two engines, one of which ignores fencing, and a plain service.
func (d *Deployment) startTargets(runCtx context.Context, log *logrus.Logger) error {
	for i, fencing := range []string{"enforced", "ignored"} {
		id := fmt.Sprintf("engine-%d", i+1)
		engine, err := emulator.NewEngine(emulator.EngineOptions{
			ID: id, Service: EngineService, Address: "127.0.0.1:0", DataCentre: dataCentres[i], Models: []string{Model},
			Fencing: fencing, Entries: d.EntryAddresses, Log: log.WithField("target", id),
		})
		if err != nil {
			return err
		}
		d.group.Go(func() error { return engine.Run(runCtx) })
	}
	service, err := emulator.NewService(emulator.ServiceOptions{
		ID: "exchange-1", Service: PlainService, Address: "127.0.0.1:0", DataCentre: dataCentres[2],
		Entries: d.EntryAddresses, Log: log.WithField("target", "exchange-1"),
	})
	if err != nil {
		return err
	}
	d.group.Go(func() error { return service.Run(runCtx) })
	return nil
}

// configuration returns the services, the profile and the organisation of the deployment.
func configuration() client.Configuration {
	return client.Configuration{
		Services: []fleet.Service{{Name: EngineService, Kind: "engine"}, {Name: PlainService, Kind: "service"}},
		Profiles: []fleet.Profile{{
			Name:         profileName,
			Organisation: Organisation,
			Limits:       fleet.Limits{RatePerSecond: 200, Burst: 400},
			Models:       []string{Model},
			Budget:       fleet.Budget{MaxCalls: 220, MaxTokens: 620_000, MaxSeconds: 3600},
			Policy:       fleet.PolicyWeights{Latency: 1, Fairness: 0.3},
			Routes:       []fleet.Route{{Service: PlainService, Method: "POST", PathPrefix: "/pickups", NonIdempotent: true}},
			Resend:       fleet.Resend{WindowMS: 600_000, Identify: "body"},
		}},
		Organisations: []fleet.Organisation{{ID: Organisation, Name: "Valley Pantry", Profile: profileName}},
	}
}

// retryUntil calls f until it succeeds or ctx ends.
func retryUntil(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(startPollInterval):
		}
	}
}

// freeAddresses returns n free loopback addresses. It binds their ports and releases
// them before it returns.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
