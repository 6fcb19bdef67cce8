package registry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/rpc"
)

const (
	// heartbeatRetention is how long the heartbeats of a target are remembered that sends no
	// others here, and maxHeard bounds the targets.
	heartbeatRetention = time.Minute
	maxHeard           = 4096
	// heartbeatsTimeout bounds a question about heartbeats to one control VM.
	heartbeatsTimeout = 250 * time.Millisecond
	// maxAskedTargets bounds the targets of one question.
	maxAskedTargets = 512
)

// Heartbeat is a heartbeat that a control VM has received from a target.
type Heartbeat struct {
	catalog.Incarnation
	// Sequence is the number of the heartbeat.
	Sequence int64 `json:"sequence"`
	// AgeMS is the time since its receipt in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// HeartbeatsRequest asks a control VM for the latest heartbeats of targets.
type HeartbeatsRequest struct {
	// Targets are the ids of the targets.
	Targets []string `json:"targets"`
}

// HeartbeatsResponse is the response to a HeartbeatsRequest.
type HeartbeatsResponse struct {
	Heartbeats []Heartbeat `json:"heartbeats"`
}

// heardHeartbeat is a heartbeat with the time of its receipt.
type heardHeartbeat struct {
	catalog.Incarnation
	sequence   int64
	receivedAt time.Time
}

// heartbeatLog holds the two latest heartbeats of each target. It is safe for concurrent use.
type heartbeatLog struct {
	mu       sync.Mutex
	byTarget map[string][]heardHeartbeat
}

// record stores a heartbeat, unless it is late: of an earlier incarnation or number.
func (l *heartbeatLog) record(now time.Time, t catalog.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byTarget[t.ID]
	if len(list) == 0 {
		l.expire(now)
		if len(l.byTarget) >= maxHeard {
			return
		}
		if l.byTarget == nil {
			l.byTarget = make(map[string][]heardHeartbeat)
		}
	} else {
		latest := list[len(list)-1]
		if t.StartedUnixMS < latest.StartedUnixMS || t.StartedUnixMS == latest.StartedUnixMS && t.Sequence <= latest.sequence {
			return
		}
		list = list[len(list)-1:]
	}
	l.byTarget[t.ID] = []heardHeartbeat{{t.Incarnation(), t.Sequence, now}}
	if len(list) > 0 {
		l.byTarget[t.ID] = []heardHeartbeat{list[0], {t.Incarnation(), t.Sequence, now}}
	}
}

func (l *heartbeatLog) expire(now time.Time) {
	maps.DeleteFunc(l.byTarget, func(_ string, list []heardHeartbeat) bool {
		return now.Sub(list[len(list)-1].receivedAt) > heartbeatRetention
	})
}

// of returns the latest heartbeats of targets.
func (l *heartbeatLog) of(now time.Time, targets []string) []Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	heartbeats := []Heartbeat{}
	for _, id := range targets {
		for _, b := range l.byTarget[id] {
			heartbeats = append(heartbeats, Heartbeat{Incarnation: b.Incarnation, Sequence: b.sequence, AgeMS: now.Sub(b.receivedAt).Milliseconds()})
		}
	}
	return heartbeats
}

// handleHeartbeats returns the latest heartbeats that this control VM has received.
func (g *Registry) handleHeartbeats(_ context.Context, params json.RawMessage) (any, error) {
	var r HeartbeatsRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, rpc.Errorf("bad_request", "heartbeats: %v", err)
	}
	return HeartbeatsResponse{g.heartbeats.of(time.Now(), r.Targets[:min(len(r.Targets), maxAskedTargets)])}, nil
}

// HeartbeatsAnswer tells how control VMs answered a question about heartbeats.
type HeartbeatsAnswer int

const (
	// HeartbeatsUnanswered means that no control VM responded.
	HeartbeatsUnanswered HeartbeatsAnswer = iota
	// HeartbeatsUnknown means that all control VMs that responded are of earlier releases, which
	// do not know the question.
	HeartbeatsUnknown
	// HeartbeatsAnswered means that a control VM answered.
	HeartbeatsAnswered
)

// Heartbeats asks all control VMs for the latest heartbeats of targets.
func (f *Follower) Heartbeats(ctx context.Context, targets []string) ([]Heartbeat, HeartbeatsAnswer) {
	f.mu.Lock()
	controlVMs := slices.Collect(maps.Keys(f.reachable))
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, heartbeatsTimeout)
	defer cancel()
	var mu sync.Mutex
	var heartbeats []Heartbeat
	answer := HeartbeatsUnanswered
	var wg sync.WaitGroup
	for _, address := range controlVMs {
		wg.Go(func() {
			var response HeartbeatsResponse
			err := f.options.Pool.Call(ctx, address, MethodHeartbeats, HeartbeatsRequest{targets}, &response)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answer = HeartbeatsAnswered
				heartbeats = append(heartbeats, response.Heartbeats...)
			case rpc.CodeOf(err) == rpc.CodeMethodNotFound:
				answer = max(answer, HeartbeatsUnknown)
			}
		})
	}
	wg.Wait()
	return heartbeats, answer
}
