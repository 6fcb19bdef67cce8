package catalog

import (
	"time"

	"hemlockvale.dev/coord/routing"
)

const (
	// MaxCold bounds how long a target stays cold, whatever it states.
	MaxCold = time.Hour
	// coldTolerance is the difference between two stated ends of a cold period up to which they
	// count as equal. Each heartbeat of a cold target would otherwise be a change of the
	// catalog, because heartbeats take different times to arrive.
	coldTolerance = 500 * time.Millisecond
	// coldMargin is added to a cold period, because the clocks of control and store VMs differ.
	coldMargin = 250 * time.Millisecond
)

// StampCold returns an announcement with the times of its cold period on the clock of the VM that
// has received it at nowUnixMS. The target states that it stays cold for left, and startsCold
// that targets of its service are cold after their start. The recorded target with the same id, if
// known is set, keeps its times if those of the announcement differ little.
func (t Target) StampCold(nowUnixMS int64, left time.Duration, startsCold bool, recorded Target, known bool) Target {
	if left = min(left, MaxCold); left > 0 {
		t.ColdUntilUnixMS = nowUnixMS + left.Milliseconds()
	}
	if !known || recorded.StartedUnixMS != t.StartedUnixMS {
		if startsCold {
			t.FirstSeenUnixMS = nowUnixMS
		}
		return t
	}
	t.FirstSeenUnixMS = recorded.FirstSeenUnixMS
	difference := max(t.ColdUntilUnixMS, nowUnixMS) - max(recorded.ColdUntilUnixMS, nowUnixMS)
	if max(difference, -difference) <= coldTolerance.Milliseconds() {
		t.ColdUntilUnixMS = recorded.ColdUntilUnixMS
	}
	return t
}

// ColdLeft returns how long the target stays cold after nowUnixMS; 0 if it is warm. The longer of
// what it has stated and what is left since its start applies.
func (t Target) ColdLeft(s *routing.Service, nowUnixMS int64) time.Duration {
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	end := t.ColdUntilUnixMS
	if s.ColdStartSeconds > 0 {
		start := t.FirstSeenUnixMS
		if start == 0 {
			// The target was recorded before its service stated a cold period, or by an earlier
			// release. Its own clock may be wrong.
			start = min(t.StartedUnixMS, nowUnixMS)
		}
		end = max(end, start+int64(s.ColdStartSeconds*1000))
	}
	if end == 0 {
		return 0
	}
	left := min(max(end-nowUnixMS, -coldMargin.Milliseconds()), MaxCold.Milliseconds())
	return time.Duration(left)*time.Millisecond + coldMargin
}

// keepFirstSeen returns an announcement with the time at which its incarnation was first
// announced. A control VM that is behind may have stamped a later one.
func (s *State) keepFirstSeen(t Target) Target {
	if recorded, ok := s.Targets[t.ID]; ok && recorded.StartedUnixMS == t.StartedUnixMS && recorded.FirstSeenUnixMS != 0 {
		t.FirstSeenUnixMS = recorded.FirstSeenUnixMS
	}
	return t
}
