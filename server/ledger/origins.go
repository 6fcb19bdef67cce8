package ledger

import (
	"maps"
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/bootclock"
)

// originSweepInterval is the time between two removals of expired origins.
const originSweepInterval = time.Second

// knownOrigins holds what began the streams of an entry, so that the entry can repeat it
// to a new leader, which knows nothing of earlier grants. It is not safe for concurrent
// use.
type knownOrigins struct {
	byRequest map[string]originUntil
	sweptAt   time.Time
}

// originUntil is the origin of a stream with the deadline of its request.
type originUntil struct {
	dispatch.Origin
	target   string
	deadline time.Time
}

// record stores the origin of a request that was granted, if the response is a stream.
func (k *knownOrigins) record(r AdmitRequest, response AdmitResponse) {
	if !r.Stream || response.Refusal != "" {
		return
	}
	k.sweep()
	k.byRequest[r.ID] = originUntil{dispatch.Origin{Service: r.Service, Software: response.Software}, response.Target, time.Now().Add(r.TimeLeft)}
}

// sweep removes the origins of requests whose deadline has passed.
func (k *knownOrigins) sweep() {
	now := time.Now()
	if now.Before(k.sweptAt.Add(originSweepInterval)) {
		return
	}
	k.sweptAt = now
	maps.DeleteFunc(k.byRequest, func(_ string, o originUntil) bool { return now.After(o.deadline) })
}

// messages returns the origins for a new leader, in lists that fit into one message each.
func (k *knownOrigins) messages() [][]streamOrigin {
	origins := make([]streamOrigin, 0, len(k.byRequest))
	for id, o := range k.byRequest {
		origins = append(origins, streamOrigin{Request: id, Target: o.target, Origin: o.Origin, Left: max(0, time.Until(o.deadline))})
	}
	return divide(origins, func(o streamOrigin) int {
		return len(o.Request) + len(o.Target) + len(o.Origin.Service) + len(o.Origin.Software)
	})
}

// recordOrigins applies what an entry repeats about the streams that an earlier leader has
// granted. The caller holds h.mu.
func (h *Host) recordOrigins(origins []streamOrigin) {
	for _, o := range origins {
		h.dispatcher.LearnOrigin(bootclock.Now(), o.Request, o.Target, o.Origin, o.Left)
	}
}
