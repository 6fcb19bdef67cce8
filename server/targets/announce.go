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

// maxAnnounceBytes bounds the body of an announcement or cache report.
const maxAnnounceBytes = 4 << 20

// fromTarget refuses messages from outside the targets' networks: whoever can
// announce a target receives callers' requests.
func (t *Targets) fromTarget(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !t.inNetworks(r.RemoteAddr) {
			t.metrics.invalid.Inc(1)
			t.log.WithFields(logrus.Fields{"event": "sender_rejected", "sender": r.RemoteAddr}).Warn("sender is outside the targets' networks")
			respond(w, http.StatusForbidden, problem{Code: "sender_not_permitted", Detail: "the sender is outside the targets' networks"})
			return
		}
		next(w, r)
	}
}

// inNetworks reports whether an IP:port belongs to the targets' networks.
func (t *Targets) inNetworks(address string) bool {
	if len(t.options.Networks) == 0 {
		return true
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && slices.ContainsFunc(t.options.Networks, func(n netip.Prefix) bool { return n.Contains(a.Addr().Unmap()) })
}

// handleAnnounce accepts an announcement from a target.
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
	respond(w, http.StatusOK, target.AnnounceReply{Watchers: t.accept(a)})
}

// accept uses the announcement here, where this VM needs it, puts it into the
// outboxes of the others, and returns the HTTP addresses of the watchers.
func (t *Targets) accept(a target.Announcement) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.refresh()
	now := t.now()
	recipients := t.recipientsOf(p, a.ID)
	// Without a configuration this VM cannot know the watchers and keeps what it hears.
	local := len(recipients) == 0
	for _, vm := range recipients {
		if vm.ID == t.options.Self.ID {
			local = true
			continue
		}
		t.outbox.announce(vm, now, a)
	}
	if local {
		t.announce(now, 0, a)
	}
	addresses := []string{}
	for _, vm := range p.watchersOf(a.ID) {
		addresses = append(addresses, vm.HTTPAddress)
	}
	return addresses
}

// announce gives an announcement to the registry and logs what changes.
func (t *Targets) announce(now, age time.Duration, a target.Announcement) {
	before, known := t.registry.Find(now, a.ID)
	err := t.registry.AnnounceAged(now, age, a)
	if errors.Is(err, target.ErrLate) {
		t.metrics.late.Inc(1)
		return
	}
	log := t.log.WithFields(logrus.Fields{"target": a.ID, "service": a.Service, "address": a.Address, "incarnation": a.Incarnation})
	switch {
	case err != nil:
		t.metrics.invalid.Inc(1)
		log.WithField("event", "announcement_rejected").Warn(err)
		return
	case !known:
		log.WithField("event", "target_joined").Info("target announced itself")
	case before.Incarnation != a.Incarnation:
		log.WithField("event", "target_restarted").Info("target has a new incarnation")
	case a.Leaving && !before.Leaving:
		log.WithField("event", "target_leaving").Info("target gets no new work")
	}
	t.metrics.announcements.Inc(1)
	t.see(now, a.ID)
}

// handleCacheEvents accepts cache events from a target.
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
			t.cacheEvents(t.now(), report)
			continue
		}
		t.outbox.cacheEvents(vm, report)
	}
	w.WriteHeader(http.StatusNoContent)
}

// cacheEvents gives a report to the registry, and to the order manager when it shows
// memory of a released program.
func (t *Targets) cacheEvents(now time.Duration, r target.CacheReport) {
	if err := t.registry.ApplyCacheEvents(now, r.ID, r.Incarnation, r.Events); err != nil {
		t.metrics.unusedEvents.Inc(int64(len(r.Events)))
		return
	}
	for _, e := range r.Events {
		if e.Kind == "stored" && t.book.ReleaseStatus(r.ID, e.Program) != target.ReleaseNone {
			t.step(target.PrefixStored{Target: r.ID, Program: e.Program})
		}
	}
}

func (t *Targets) reject(w http.ResponseWriter, what string, err error) {
	t.metrics.invalid.Inc(1)
	t.log.WithFields(logrus.Fields{"event": what + "_rejected"}).Warn(err)
	respond(w, http.StatusBadRequest, problem{Code: "invalid_message", Detail: err.Error()})
}

// problem is the answer to a message that is not usable.
type problem struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		respond(w, http.StatusRequestEntityTooLarge, problem{Code: "body_not_readable", Detail: err.Error()})
	}
	return body, err
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
