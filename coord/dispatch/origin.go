package dispatch

import (
	"slices"
	"time"
)

const (
	// originRetention is how long after the deadline of a stream's request the origin of the
	// stream is known. Callers take up a stream within the time that they gave the first
	// request.
	originRetention = 10 * time.Second
	// originSweepInterval is the time between two removals of expired origins.
	originSweepInterval = time.Second
)

// Origin is what began a stream. Only targets of the same service with the same software
// may continue it, because the events of others do not fit those that the caller has.
type Origin struct {
	// Service is the name of the service.
	Service string `json:"s"`
	// Software is the version of the target's software; empty if targets state none.
	Software string `json:"v,omitempty"`
}

// knownOrigin is the origin of the stream of one request.
type knownOrigin struct {
	Origin
	// target is the id of the target that began the stream, and grantedAt the time of the
	// grant.
	target    string
	grantedAt time.Duration
	expires   time.Duration
}

// origins holds the origins of recent streams by request id. A dispatcher knows those that
// it granted itself and those that it was told.
type origins struct {
	byRequest map[string]knownOrigin
	sweptAt   time.Duration
}

func newOrigins() origins { return origins{byRequest: make(map[string]knownOrigin)} }

// sweep removes expired origins.
func (o *origins) sweep(now time.Duration) {
	if now < o.sweptAt+originSweepInterval {
		return
	}
	o.sweptAt = now
	for id, known := range o.byRequest {
		if now > known.expires {
			delete(o.byRequest, id)
		}
	}
}

// forgetTarget drops the origins of streams that began at a target whose software has
// changed under its id. The change is known some time after it, so the streams may have
// begun with either version.
func (o *origins) forgetTarget(id string) {
	for request, known := range o.byRequest {
		if known.target == id {
			delete(o.byRequest, request)
		}
	}
}

// LearnOrigin records the origin of a stream that an earlier dispatcher granted at a
// target; left is the time until its request's deadline. It changes no origin that is
// known, and ignores one that does not agree with the software of the target. The time of the
// grant is not known, so that the origin counts as uncertain if the target is in doubt.
func (d *Dispatcher) LearnOrigin(now time.Duration, requestID, targetID string, origin Origin, left time.Duration) {
	if t := d.targets[targetID]; t != nil && t.Software != origin.Software {
		return
	}
	if _, known := d.origins.byRequest[requestID]; !known {
		d.origins.byRequest[requestID] = knownOrigin{origin, targetID, now, now + left + originRetention}
	}
}

// recordOrigin records that the stream of a request, if it is one, begins at a target.
func (d *Dispatcher) recordOrigin(now time.Duration, w *waitingRequest, t *target) {
	if _, known := d.origins.byRequest[w.request.ID]; known && w.request.SameProcess {
		// The process that began the stream continues it, so the time of its first grant counts.
		return
	}
	if w.request.Stream {
		d.origins.byRequest[w.request.ID] = knownOrigin{Origin{t.Service, t.Software}, t.ID, now, w.expires + originRetention}
	}
}

// resolveOrigin sets the origin of a request that continues a stream. It returns a refusal
// if no target may continue the stream, or if it is not known which ones may. What the sending VM
// states about a stream that it broke off itself is what its grant stated, so the grant must
// still be known as well.
func (d *Dispatcher) resolveOrigin(r *Request) Refusal {
	if !r.Continues {
		return ""
	}
	r.origin = r.Resumes
	if r.Origin != nil {
		r.origin = r.ID
	}
	known, ok := d.origins.byRequest[r.origin]
	switch {
	case ok:
		r.inDoubt = d.beganInDoubt(known)
		if r.Origin == nil {
			r.Origin = &known.Origin
		}
	case r.SameProcess && r.Origin != nil:
	case d.statesSoftware(r.Service):
		return OriginUnknown
	case r.Origin == nil:
		return ""
	}
	if r.Origin.Service != r.Service || !d.hasTarget(r) {
		return SoftwareGone
	}
	return ""
}

// statesSoftware reports whether any target of a service states its software version.
func (d *Dispatcher) statesSoftware(service string) bool {
	return slices.ContainsFunc(d.targetsByService[service], func(t *target) bool { return t.Software != "" })
}
