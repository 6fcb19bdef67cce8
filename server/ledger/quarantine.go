package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/quarantine"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/registry"
	"hemlockvale.dev/server/rpc"
)

const (
	// checkTimeout bounds the connection attempt that checks whether a target has ended.
	checkTimeout = 500 * time.Millisecond
	// maxChecks bounds the checks in progress.
	maxChecks = 32
	// maxCrashProposals bounds how often a crash is proposed to the quorum, and
	// crashProposalInterval is the time between two proposals.
	maxCrashProposals     = 20
	crashProposalInterval = 250 * time.Millisecond
)

// Quarantined is the refusal of a request that has ended several targets.
const Quarantined dispatch.Refusal = "quarantined"

var quarantinedResponse = AdmitResponse{Refusal: Quarantined, RetryAfter: quarantine.RetentionSeconds * time.Second}

// These are the RPC methods with which operators see and clear the requests that are held
// back. The leader executes them.
const (
	// MethodQuarantine returns a QuarantineResponse.
	MethodQuarantine = "ledger.quarantine"
	// MethodClearQuarantine forgets the quarantine.Content in its parameter.
	MethodClearQuarantine = "ledger.clear_quarantine"
)

// QuarantineResponse is the response of MethodQuarantine.
type QuarantineResponse struct {
	// Suspects are the requests that have ended targets.
	Suspects []SuspectRequest `json:"suspects"`
}

// SuspectRequest is a request that has ended targets.
type SuspectRequest struct {
	quarantine.Suspect
	// HeldBack is set if the request is refused.
	HeldBack bool `json:"held_back"`
	// FingerprintText is the fingerprint in hexadecimal, as log lines have it.
	FingerprintText string `json:"fingerprint_text"`
	// Ended is the number of targets.
	Ended int `json:"ended"`
}

// fingerprintText returns a fingerprint as logs and commands show it.
func fingerprintText(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// contentOf identifies the content of a request.
func contentOf(r *dispatch.Request) quarantine.Content {
	return quarantine.Content{Organisation: r.Organisation, Fingerprint: r.Fingerprint}
}

// isQuarantined reports whether a request has ended too many targets. The caller holds
// h.mu.
func (h *Host) isQuarantined(r *dispatch.Request) bool {
	if r.Fingerprint == 0 {
		return false
	}
	heldBack := false
	h.options.Machine.readSuspects(func(records *quarantine.Records) { heldBack = records.HeldBack(contentOf(r)) })
	return heldBack
}

// setDetectorTargets tells the detector about the targets of the catalog. The caller holds
// h.mu.
func (h *Host) setDetectorTargets(view *registry.View) {
	targets := make([]quarantine.Target, len(view.Targets))
	for i, t := range view.Targets {
		targets[i] = quarantine.Target{Incarnation: t.Incarnation(), Address: t.Address, Leaving: h.leaves(t)}
	}
	h.recordCrashes(h.detector.SetTargets(bootclock.Now(), targets))
}

// recordLosses handles what an entry reports about lost responses. The caller holds h.mu.
func (h *Host) recordLosses(reporter string, losses []LossReport) {
	for _, l := range losses {
		l.Reporter = reporter
		h.options.Log.WithFields(logrus.Fields{
			"event": "response_lost", "request": l.Request, "organisation": l.Organisation, "fingerprint": fingerprintText(l.Fingerprint),
			"target": l.Target, "kind": l.Kind.String(), "ran_ms": l.Ran.Milliseconds(), "age_ms": l.Age.Milliseconds(), "entry": reporter,
		}).Info("response of a target was lost")
		crashes, check := h.detector.Lost(bootclock.Now(), l.Loss)
		h.recordCrashes(crashes)
		h.startCheck(check)
	}
}

// startCheck connects to a target in a goroutine, unless c is nil. If too many checks are in
// progress, it postpones the check.
func (h *Host) startCheck(c *quarantine.Check) {
	if c == nil {
		return
	}
	select {
	case h.checkSlots <- struct{}{}:
	default:
		h.options.Log.WithFields(logrus.Fields{"event": "target_check_postponed", "target": c.Target}).Warn("too many checks of targets are in progress")
		h.detector.Postpone(*c)
		return
	}
	detector := h.detector
	go func() {
		defer func() { <-h.checkSlots }()
		result, err := checkAddress(c.Address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.options.Log.WithFields(logrus.Fields{"event": "target_check", "target": c.Target, "error": err}).Info("target was checked after a lost response")
		if detector == h.detector {
			h.recordCrashes(detector.Checked(bootclock.Now(), *c, result))
		}
	}()
}

// checkAddress finds out whether a process listens at an address.
func checkAddress(address string) (quarantine.Result, error) {
	conn, err := net.DialTimeout("tcp", address, checkTimeout)
	switch {
	case err == nil:
		return quarantine.Connected, conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.NotListening, err
	}
	return quarantine.NoResponse, err
}

// recordCrashes proposes crashes to the quorum. The caller holds h.mu.
func (h *Host) recordCrashes(crashes []quarantine.Crash) {
	for _, c := range crashes {
		h.options.Log.WithFields(logrus.Fields{
			"event": "target_crash", "organisation": c.Organisation, "fingerprint": fingerprintText(c.Fingerprint), "target": c.Target, "evidence": string(c.Evidence),
		}).Warn("target ended while it ran a request")
		gometrics.GetOrRegisterCounter("ledger_target_crashes", h.options.Metrics).Inc(1)
		h.proposeCrash(c, maxCrashProposals)
	}
}

// proposeCrash proposes a crash to the quorum, again if that is not confirmed. Recording a
// crash is idempotent.
func (h *Host) proposeCrash(c quarantine.Crash, proposals int) {
	detector := h.detector
	retry := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		// After a change of the leader, the entries repeat their losses to the new one.
		if h.detector == detector {
			h.proposeCrash(c, proposals-1)
		}
	}
	h.batcher.add(operation{quarantine: &quarantine.Change{Crash: &c}, onOutcome: func(_ bool, err error) {
		if err == nil {
			return
		}
		h.options.Log.WithFields(logrus.Fields{"event": "crash_not_recorded", "fingerprint": fingerprintText(c.Fingerprint), "target": c.Target, "proposals_left": proposals - 1}).WithError(err).Warn("the end of a target is not confirmed by the quorum")
		if proposals > 1 {
			time.AfterFunc(crashProposalInterval, retry)
		}
	}})
}

// recordCompletion tells the quarantine that a target has completed a request. The caller
// holds h.mu.
func (h *Host) recordCompletion(r DoneReport) {
	a := h.admissions[r.ID]
	if a == nil || a.response == nil || a.response.Target != r.Target {
		// An earlier leader granted the request, so it is unknown when.
		return
	}
	content := contentOf(&a.request.Request)
	alive, unixMS := h.detector.Completed(r.Target, a.finishedAt)
	var changes []quarantine.Change
	h.options.Machine.readSuspects(func(records *quarantine.Records) {
		if records.Blames(alive, unixMS) {
			changes = append(changes, quarantine.Change{Alive: &alive})
		}
		if records.Suspects(content) {
			changes = append(changes, quarantine.Change{Completed: &content})
		}
	})
	for i := range changes {
		h.options.Log.WithFields(logrus.Fields{"event": "crash_doubted", "request": r.ID, "target": r.Target, "fingerprint": fingerprintText(content.Fingerprint), "target_alive": changes[i].Alive != nil}).Info("a request completed that concerns a suspected crash")
		h.batcher.add(operation{quarantine: &changes[i]})
	}
}

// startDueChecks makes the checks that were not made earlier, and repeats those of targets that
// did not respond. The caller holds h.mu.
func (h *Host) startDueChecks() {
	for _, c := range h.detector.Due(bootclock.Now()) {
		h.startCheck(&c)
	}
}

// handleQuarantine lists the requests that have ended targets.
func (h *Host) handleQuarantine(context.Context, json.RawMessage) (any, error) {
	if !h.canAdmit() {
		return nil, rpc.Errorf("not_leader", "%v", errNotLeading)
	}
	response := QuarantineResponse{Suspects: []SuspectRequest{}}
	h.options.Machine.readSuspects(func(records *quarantine.Records) {
		for _, s := range records.List() {
			response.Suspects = append(response.Suspects, SuspectRequest{s, s.HeldBack(), fingerprintText(s.Fingerprint), len(s.Crashes)})
		}
	})
	return response, nil
}

// handleClearQuarantine lets a request run again.
func (h *Host) handleClearQuarantine(ctx context.Context, params json.RawMessage) (any, error) {
	var content quarantine.Content
	if err := json.Unmarshal(params, &content); err != nil {
		return nil, rpc.Errorf("bad_request", "content: %v", err)
	}
	if !h.canAdmit() {
		return nil, rpc.Errorf("not_leader", "%v", errNotLeading)
	}
	outcome := make(chan error, 1)
	h.batcher.add(operation{quarantine: &quarantine.Change{Clear: &content}, onOutcome: func(_ bool, err error) { outcome <- err }})
	select {
	case err := <-outcome:
		if err != nil {
			return nil, rpc.Errorf("unavailable", "the change is not confirmed: %v", err)
		}
	case <-ctx.Done():
		return nil, rpc.Errorf("unavailable", "%v", ctx.Err())
	}
	h.options.Log.WithFields(logrus.Fields{"event": "quarantine_cleared", "organisation": content.Organisation, "fingerprint": fingerprintText(content.Fingerprint)}).Info("an operator cleared a request")
	return struct{}{}, nil
}
