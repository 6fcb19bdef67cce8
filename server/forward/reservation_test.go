package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/routing"
)

// TestReservationHoldsWholeEvents guards against a turn whose last event exceeds its reservation,
// so that more tokens are delivered than are charged to the program's budget.
func TestReservationHoldsWholeEvents(t *testing.T) {
	x := &exchange{
		call: Call{ID: "a", Program: "p", TokenBudget: 1000, OutputTokens: 100}, route: &routing.Route{Kind: routing.Streaming},
		service: &routing.Service{Engine: &routing.Engine{TokensPerEvent: 11}},
	}
	reservation := x.newReservation()
	require.NotNil(t, reservation)
	assert.EqualValues(t, 110, reservation.Tokens)
	x.events = 10
	assert.Equal(t, reservation.Tokens, x.deliveredTokens(), "the event that reaches the maximum is included")
	x.service = &routing.Service{}
	assert.EqualValues(t, 100, x.newReservation().Tokens)
}
