package memquota

// Limits are the limits of a Quota.
type Limits struct {
	// Total bounds the sum of all holdings.
	Total int64
	// Reserves has the bytes that only one class can use. The rest of Total is shared.
	Reserves [Classes]Reserve
	// Pressure is the use of the shared part above which memory is scarce. Then one caller
	// address grows up to CallerShare only, and one target up to TargetShare.
	Pressure, CallerShare, TargetShare int64
}

// Reserve is the reserve of one class. Ordinary holdings use Ordinary, long ones use Long.
type Reserve struct{ Ordinary, Long int64 }

const (
	// totalFraction is the part of the process's memory limit that is the total. An idle
	// entry uses about 20 MB. The total, this and the garbage between two collections must
	// stay below the limit: 36 + 20 + 16 MB of 120 are the soft limit of the runtime.
	totalFraction = 0.3
	// minTotal is the lowest total. It holds one request with a body of 4 MiB and a response
	// of 8 MiB within the shares.
	minTotal = 32 << 20
	// defaultTotal is the total of a process without a memory limit. It holds one request
	// with the longest history, 16 MiB, and its new record.
	defaultTotal = 128 << 20
)

// reservePercent has the reserves as percentages of the total; 42 percent are shared.
var reservePercent = [Classes]Reserve{
	RequestBodies:  {Ordinary: 10, Long: 8},
	ResponseBodies: {Ordinary: 12, Long: 8},
	StreamEvents:   {Ordinary: 8, Long: 2},
	Relays:         {Ordinary: 4, Long: 2},
	PeerMessages:   {Ordinary: 2, Long: 2},
}

const (
	// pressurePercent is Limits.Pressure as a percentage of the shared part. One owner can use
	// half of it before the shares apply, and the other half remains for others.
	pressurePercent = 50
	// callerPercent and targetPercent are the shares as percentages of the total. At minTotal,
	// a caller address can hold the longest request and response, and a target the longest
	// response.
	callerPercent = 40
	targetPercent = 27
)

// Total returns the total for a process whose memory is limited to the given bytes; 0 means
// that there is no limit.
func Total(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return defaultTotal
	}
	return max(minTotal, int64(float64(memoryLimit)*totalFraction))
}

// DefaultLimits returns the limits for a total.
func DefaultLimits(total int64) Limits {
	l := Limits{Total: total, CallerShare: total * callerPercent / 100, TargetShare: total * targetPercent / 100}
	for c, r := range reservePercent {
		l.Reserves[c] = Reserve{Ordinary: total * r.Ordinary / 100, Long: total * r.Long / 100}
	}
	l.Pressure = l.shared() * pressurePercent / 100
	return l
}

// shared returns the part of the total that all classes share.
func (l *Limits) shared() int64 {
	shared := l.Total
	for _, r := range l.Reserves {
		shared -= r.Ordinary + r.Long
	}
	return shared
}
