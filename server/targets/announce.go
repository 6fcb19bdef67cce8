package targets

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/target"
)

// maxMessageBytes bounds the body of an announcement or cache report.
const maxMessageBytes = 4 << 20

// requireTargetNetwork refuses messages from outside the targets' networks, because
// a sender that can announce a target could receive the requests of callers.
func (t *Targets) requireTargetNetwork(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !t.inNetworks(r.RemoteAddr) {
			t.metrics.invalidMessages.Inc(1)
			t.log.WithFields(logrus.Fields{"event": "sender_rejected", "sender": r.RemoteAddr}).Warn("sender is outside the targets' networks")
			respond(w, http.StatusForbidden, problem{Code: "sender_not_permitted", Detail: "the sender is outside the targets' networks"})
			return
		}
		next(w, r)
	}
}

// inNetworks reports whether an address in the form IP:port is in one of the
// targets' networks. It is true for every address if no networks are configured.
func (t *Targets) inNetworks(address string) bool {
	if len(t.options.Networks) == 0 {
		return true
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && slices.ContainsFunc(t.options.Networks, func(n netip.Prefix) bool { return n.Contains(a.Addr().Unmap()) })
}

// handleAnnounce handles the HTTP request by which a target announces itself.
func (t *Targets) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		return
	}
	a, err := target.DecodeAnnouncement(body)
	if err == nil && !t.inNetworks(a.Address) {
		err = fmt.Errorf("%w: address is outside the targets' networks", target.ErrInvalid)
	}
	if err != nil {
		t.reject(w, "announcement", err)
		return
	}
	respond(w, http.StatusOK, target.AnnounceReply{Watchers: t.acceptAnnouncement(a)})
}

// acceptAnnouncement applies the announcement if this VM is one of its recipients,
// queues it for the other recipients and returns the HTTP addresses of the watchers.
func (t *Targets) acceptAnnouncement(a target.Announcement) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	topo := t.refresh()
	now := t.now()
	recipients := t.recipientsOf(topo, a.ID)
	// Without a configuration the watchers are unknown, and this VM applies every
	// announcement itself.
	local := len(recipients) == 0
	for _, vm := range recipients {
		if vm.ID == t.options.Self.ID {
			local = true
			continue
		}
		t.forwardQueues.addAnnouncement(vm, now, a)
	}
	if local {
		t.applyAnnouncement(now, 0, a)
	}
	addresses := []string{}
	for _, vm := range topo.watchersOf(a.ID) {
		addresses = append(addresses, vm.HTTPAddress)
	}
	return addresses
}

// applyAnnouncement passes an announcement of the given age to the registry and
// logs the changes of the target. The caller holds the lock.
func (t *Targets) applyAnnouncement(now, age time.Duration, a target.Announcement) {
	before, known := t.registry.Find(now, a.ID)
	err := t.registry.AnnounceAged(now, age, a)
	if errors.Is(err, target.ErrLate) {
		t.metrics.lateAnnouncements.Inc(1)
		return
	}
	log := t.log.WithFields(logrus.Fields{"target": a.ID, "service": a.Service, "address": a.Address, "incarnation": a.Incarnation})
	switch {
	case err != nil:
		t.metrics.invalidMessages.Inc(1)
		log.WithField("event", "announcement_rejected").Warn(err)
		return
	case !known:
		log.WithField("event", "target_joined").Info("target announced itself")
	case before.Incarnation != a.Incarnation:
		log.WithField("event", "target_restarted").Info("target has a new incarnation")
	case a.Leaving && !before.Leaving:
		log.WithField("event", "target_leaving").Info("target is leaving and gets no new work")
	}
	t.metrics.announcements.Inc(1)
	t.updateIncarnation(now, a.ID)
}

// handleCacheEvents handles the HTTP request by which a target reports cache events.
func (t *Targets) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		return
	}
	report, err := target.DecodeCacheReport(mux.Vars(r)["id"], body)
	if err != nil {
		t.reject(w, "cache_report", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range t.recipientsOf(t.refresh(), report.ID) {
		if vm.ID == t.options.Self.ID {
			t.applyCacheReport(t.now(), report)
			continue
		}
		t.forwardQueues.addCacheReport(vm, report)
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyCacheReport passes a report to the registry. It also tells the order manager
// about stored prefixes of released programs. The caller holds the lock.
func (t *Targets) applyCacheReport(now time.Duration, r target.CacheReport) {
	if err := t.registry.ApplyCacheEvents(now, r.ID, r.Incarnation, r.Events); err != nil {
		t.metrics.unusedCacheEvents.Inc(int64(len(r.Events)))
		return
	}
	for _, e := range r.Events {
		if e.Kind == "stored" && t.orders.ReleaseStatus(r.ID, e.Program) != target.ReleaseNone {
			t.step(target.PrefixStored{Target: r.ID, Program: e.Program})
		}
	}
}

// reject counts and logs an invalid message and responds with status 400.
func (t *Targets) reject(w http.ResponseWriter, messageKind string, err error) {
	t.metrics.invalidMessages.Inc(1)
	t.log.WithFields(logrus.Fields{"event": messageKind + "_rejected"}).Warn(err)
	respond(w, http.StatusBadRequest, problem{Code: "invalid_message", Detail: err.Error()})
}

// problem is the response body for a message that was refused.
type problem struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

// readBody reads the request body. It responds with status 413 if that fails.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err != nil {
		respond(w, http.StatusRequestEntityTooLarge, problem{Code: "body_not_readable", Detail: err.Error()})
	}
	return body, err
}

// respond writes v as the JSON body of a response.
func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
