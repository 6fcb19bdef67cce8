package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// server is a server with a queue; it completes capacity requests per second and needs
// refusalCost of a request's work for one that it refuses itself.
type server struct {
	controller Controller
	// shares are the shares that the server has stated, the latest last.
	shares []float64
	queued float64
}

// feedbackUpdates is the number of updates until senders know of a share.
const feedbackUpdates = 5

// step lets a second's share of requests arrive and be served, and returns the delay.
func (s *server) step(perSecond, capacity float64) time.Duration {
	share := 0.0
	if at := len(s.shares) - feedbackUpdates; at >= 0 {
		share = s.shares[at]
	}
	dt := UpdateInterval.Seconds()
	s.queued = max(0, s.queued+(perSecond*(1-share)-capacity)*dt)
	delay := time.Duration(s.queued / capacity * float64(time.Second))
	s.shares = append(s.shares, s.controller.Update(delay))
	return delay
}

// TestDelayStaysBounded guards against a server that stays behind during a long surge, and
// against one that goes on refusing after it.
func TestDelayStaysBounded(t *testing.T) {
	for _, surge := range []float64{1.2, 2, 4} {
		t.Run(fmt.Sprint(surge), func(t *testing.T) {
			const capacity = 4000
			s := &server{}
			perSecond := int(time.Second / UpdateInterval)
			worst := time.Duration(0)
			for i := range 10 * perSecond {
				delay := s.step(surge*capacity, capacity)
				if i > 3*perSecond {
					worst = max(worst, delay)
				}
			}
			assert.Less(t, worst, 250*time.Millisecond)
			share := s.shares[len(s.shares)-1]
			assert.InDelta(t, 1-1/surge, share, 0.2)
			for range perSecond {
				s.step(0.8*capacity, capacity)
			}
			assert.Zero(t, s.step(0.8*capacity, capacity))
			assert.Less(t, s.shares[len(s.shares)-1], 0.2)
		})
	}
}

// TestShortBurstIsServed guards against requests that are refused although the server catches
// up by itself.
func TestShortBurstIsServed(t *testing.T) {
	var c Controller
	for range 3 {
		for _, delay := range []time.Duration{40, 80, 120, 60, 20, 0} {
			assert.Zero(t, c.Update(delay*time.Millisecond))
		}
	}
}

// TestPauseIsNoOverload guards against requests that are refused because the server could not
// work for a while, although it catches up quickly.
func TestPauseIsNoOverload(t *testing.T) {
	var c Controller
	for delay := range 25 {
		c.Pause(time.Duration(delay) * UpdateInterval)
	}
	for _, delay := range []time.Duration{400, 250, 100, 40, 0} {
		assert.Zero(t, c.Update(delay*time.Millisecond))
	}
}

// TestRefusesTheStatedShare guards against programs that are refused at random for each
// request, and against a share that differs from the stated one.
func TestRefusesTheStatedShare(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.5, 1} {
		refused := 0
		const programs = 10000
		for i := range programs {
			id := fmt.Sprint("program ", i)
			if Refuses(share, id) {
				refused++
				assert.True(t, Refuses(math.Min(1, share+0.1), id), "a larger share includes a smaller one")
			}
		}
		assert.InDelta(t, share, float64(refused)/programs, 0.02)
	}
}
