package ledger

import (
	"fmt"

	gometrics "github.com/rcrowley/go-metrics"

	"hemlockvale.dev/coord/dispatch"
)

// shareCounters counts the programs that are refused because their organisation is above its
// share of a scarce capacity.
type shareCounters struct {
	// full counts those that were refused while the targets had no free slot, and free the
	// others.
	full, free gometrics.Counter
}

func newShareCounters(r gometrics.Registry) shareCounters {
	return shareCounters{
		full: gometrics.GetOrRegisterCounter("ledger_fair_share_refusals;free_slots=false", r),
		free: gometrics.GetOrRegisterCounter("ledger_fair_share_refusals;free_slots=true", r),
	}
}

func (c *shareCounters) count(s *dispatch.FairShare) {
	if s.FreeSlots {
		c.free.Inc(1)
	} else {
		c.full.Inc(1)
	}
}

// fairShareText describes a refusal for the log line of an admission. Uses are in slots.
func fairShareText(s *dispatch.FairShare) string {
	return fmt.Sprintf("usage=%.1f level=%.1f capacity=%.1f horizon_ms=%d free_slots=%t", s.Usage, s.Level, s.Capacity, s.Horizon.Milliseconds(), s.FreeSlots)
}
