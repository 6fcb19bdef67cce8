package catalog

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

const (
	// maxTextBytes bounds each text in the description of a target.
	maxTextBytes = 512
	// maxSlots bounds the requests that one target runs at once.
	maxSlots = 1_000_000
	// maxStartedUnixMS is the latest start of a target, in Unix milliseconds; it lies in the
	// year 2200.
	maxStartedUnixMS = 7_258_118_400_000
	maxPort          = 65535
)

// Validate returns all reasons why the description of a target can't be used, or nil.
func (t Target) Validate() error {
	var errs []error
	for _, text := range []struct{ name, value string }{
		{"id", t.ID}, {"service", t.Service}, {"address", t.Address}, {"data centre", t.DataCentre}, {"software", t.Software},
	} {
		if len(text.value) > maxTextBytes {
			errs = append(errs, fmt.Errorf("%s: %d bytes are too many", text.name, len(text.value)))
		}
	}
	if t.ID == "" || t.Service == "" {
		errs = append(errs, errors.New("id or service is empty"))
	}
	if err := validateAddress(t.Address); err != nil {
		errs = append(errs, fmt.Errorf("address: %w", err))
	}
	if t.Slots < 0 || t.Slots > maxSlots {
		errs = append(errs, fmt.Errorf("slots: %d is out of range", t.Slots))
	}
	if t.StartedUnixMS < 0 || t.StartedUnixMS > maxStartedUnixMS {
		errs = append(errs, fmt.Errorf("start: %d is out of range", t.StartedUnixMS))
	}
	if t.Sequence < 0 {
		errs = append(errs, fmt.Errorf("sequence: %d is out of range", t.Sequence))
	}
	return errors.Join(errs...)
}

// Valid reports whether a target can have announced itself as this incarnation.
func (i Incarnation) Valid() bool {
	return i.Target != "" && len(i.Target) <= maxTextBytes && i.StartedUnixMS >= 0 && i.StartedUnixMS <= maxStartedUnixMS
}

// validateAddress checks a network address of the form host:port.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 || n > maxPort {
		return fmt.Errorf("port %q is out of range", port)
	}
	if host == "" {
		return errors.New("host is empty")
	}
	return nil
}

// ValidTargets returns the targets that can be used, and calls skip with each other one that
// has not left and the reason.
func ValidTargets(targets []Target, skip func(Target, error)) []Target {
	valid := make([]Target, 0, len(targets))
	for _, t := range targets {
		if err := t.Validate(); err != nil && t.State != Gone {
			skip(t, err)
			continue
		}
		valid = append(valid, t)
	}
	return valid
}
