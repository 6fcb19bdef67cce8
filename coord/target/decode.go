package target

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

const (
	// maxNameBytes bounds every name that a target sends.
	maxNameBytes = 512
	// maxModels bounds the models of one target.
	maxModels = 256
	// maxEvents bounds the cache events of one report.
	maxEvents = 65_536
	// maxCount and maxTokens bound load figures, so that sums cannot overflow.
	maxCount  = 1 << 30
	maxTokens = 1 << 50
)

const (
	// FencingEnforced targets refuse orders with a stale fencing number.
	FencingEnforced = "enforced"
	// FencingIgnored targets accept any fencing number.
	FencingIgnored = "ignored"
)

// ErrInvalid is wrapped by every rejection of a target's message.
var ErrInvalid = errors.New("invalid message")

// Validate checks what a target says about itself.
func (a Announcement) Validate() error {
	var errs []error
	errs = append(errs, checkName("id", a.ID, true), checkName("incarnation", a.Incarnation, true),
		checkName("service", a.Service, true), checkName("data_centre", a.DataCentre, false), checkName("role", a.Role, false))
	if strings.Contains(a.ID, "/") {
		errs = append(errs, fmt.Errorf("%w: id contains a slash", ErrInvalid))
	}
	if a.Kind != "engine" && a.Kind != "service" {
		errs = append(errs, fmt.Errorf("%w: kind %q", ErrInvalid, a.Kind))
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		errs = append(errs, fmt.Errorf("%w: address: %w", ErrInvalid, err))
	}
	if a.Fencing != "" && a.Fencing != FencingEnforced && a.Fencing != FencingIgnored {
		errs = append(errs, fmt.Errorf("%w: fencing %q", ErrInvalid, a.Fencing))
	}
	if a.LeaseMS <= 0 || a.Sequence == 0 {
		errs = append(errs, fmt.Errorf("%w: lease_ms and sequence start at 1", ErrInvalid))
	}
	if len(a.Models) > maxModels {
		errs = append(errs, fmt.Errorf("%w: more than %d models", ErrInvalid, maxModels))
	}
	for _, m := range a.Models {
		errs = append(errs, checkName("models", m, true))
	}
	return errors.Join(append(errs, a.Load.validate())...)
}

func checkName(field, value string, required bool) error {
	if required && value == "" {
		return fmt.Errorf("%w: %s is empty", ErrInvalid, field)
	}
	if len(value) > maxNameBytes {
		return fmt.Errorf("%w: %s is longer than %d bytes", ErrInvalid, field, maxNameBytes)
	}
	return nil
}

func (l Load) validate() error {
	counts := l.Running >= 0 && l.Running <= maxCount && l.Waiting >= 0 && l.Waiting <= maxCount && l.MaxBatch >= 0 && l.MaxBatch <= maxCount
	tokens := l.KVUsed >= 0 && l.KVUsed <= maxTokens && l.KVCapacity >= 0 && l.KVCapacity <= maxTokens
	speed := l.TokensPerSecond >= 0 && l.TokensPerSecond <= maxTokens
	if !counts || !tokens || !speed {
		return fmt.Errorf("%w: load out of range", ErrInvalid)
	}
	return nil
}

// DecodeAnnouncement decodes and checks the body of an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		return Announcement{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return a, a.Validate()
}

// DecodeCacheReport decodes and checks the body of a cache report.
func DecodeCacheReport(id string, data []byte) (CacheReport, error) {
	var r CacheReport
	if err := json.Unmarshal(data, &r); err != nil {
		return CacheReport{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	r.ID = id
	return r, r.Validate()
}

// Validate checks a cache report.
func (r CacheReport) Validate() error {
	errs := []error{checkName("id", r.ID, true), checkName("incarnation", r.Incarnation, true)}
	if len(r.Events) > maxEvents {
		return fmt.Errorf("%w: more than %d events", ErrInvalid, maxEvents)
	}
	for _, e := range r.Events {
		errs = append(errs, checkName("program", e.Program, e.Kind != "cleared"))
		if e.Kind != "stored" && e.Kind != "removed" && e.Kind != "cleared" {
			errs = append(errs, fmt.Errorf("%w: event kind %q", ErrInvalid, e.Kind))
		}
		if e.Tokens < 0 || e.Tokens > maxTokens {
			errs = append(errs, fmt.Errorf("%w: event tokens out of range", ErrInvalid))
		}
	}
	return errors.Join(errs...)
}

// DecodeEngineState decodes the answer to GET /v1/orders.
func DecodeEngineState(data []byte) (EngineState, error) {
	var s EngineState
	if err := json.Unmarshal(data, &s); err != nil {
		return EngineState{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, errors.Join(checkName("incarnation", s.Incarnation, true), checkName("id", s.ID, true))
}

// DecodeLoad decodes the X-Load header of an answer.
func DecodeLoad(header string) (Load, error) {
	var l Load
	if err := json.Unmarshal([]byte(header), &l); err != nil {
		return Load{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return l, l.validate()
}
