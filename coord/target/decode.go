package target

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

const (
	// maxNameBytes limits the length of each name that a target sends.
	maxNameBytes = 512
	// maxModels limits the number of models that one target announces.
	maxModels = 256
	// maxEvents limits the number of cache events in one report.
	maxEvents = 65_536
	// maxCount and maxTokens limit the load figures, so that sums of them cannot
	// overflow.
	maxCount  = 1 << 30
	maxTokens = 1 << 50
)

const (
	// FencingEnforced means that the target refuses orders with a stale fencing
	// number.
	FencingEnforced = "enforced"
	// FencingIgnored means that the target accepts every fencing number.
	FencingIgnored = "ignored"
)

// ErrInvalid is wrapped by every error about an invalid message of a target.
var ErrInvalid = errors.New("invalid message")

// Validate checks that the names, addresses, numbers and lists are present where
// required and within their limits.
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

// DecodeAnnouncement decodes and validates the body of an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		return Announcement{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return a, a.Validate()
}

// DecodeCacheReport decodes and validates the body of a cache report about the
// target with the given ID.
func DecodeCacheReport(id string, data []byte) (CacheReport, error) {
	var r CacheReport
	if err := json.Unmarshal(data, &r); err != nil {
		return CacheReport{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	r.ID = id
	return r, r.Validate()
}

// Validate checks that the names, kinds and numbers of a cache report are within
// their limits.
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

// DecodeEngineState decodes the response to GET /v1/orders.
func DecodeEngineState(data []byte) (EngineState, error) {
	var s EngineState
	if err := json.Unmarshal(data, &s); err != nil {
		return EngineState{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, errors.Join(checkName("incarnation", s.Incarnation, true), checkName("id", s.ID, true))
}

// DecodeLoad decodes and validates the X-Load header of a response.
func DecodeLoad(header string) (Load, error) {
	var l Load
	if err := json.Unmarshal([]byte(header), &l); err != nil {
		return Load{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return l, l.validate()
}
