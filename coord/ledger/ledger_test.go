package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func reserve(request string, budget, tokens int64) Reserve {
	return Reserve{Program: Program{"o", "p"}, Request: request, Budget: budget, Tokens: tokens}
}

// TestReservationsShareTheBudget guards against sub-agents that exceed their common
// budget by concurrent reservations, and against a repeated reservation or
// settlement that is counted twice.
func TestReservationsShareTheBudget(t *testing.T) {
	s := New()
	assert.Equal(t, []bool{true, true, false}, s.Apply(Command{Reserves: []Reserve{reserve("a", 100, 40), reserve("b", 100, 40), reserve("c", 100, 40)}}).Reserved)
	assert.Equal(t, []bool{true}, s.Apply(Command{Reserves: []Reserve{reserve("a", 100, 40)}}).Reserved)
	assert.EqualValues(t, 80, s.Charged(Program{"o", "p"}))
	s.Apply(Command{Settles: []Settle{{Program: Program{"o", "p"}, Request: "a", Used: 10}}})
	s.Apply(Command{Settles: []Settle{{Program: Program{"o", "p"}, Request: "a", Used: 10}}})
	assert.EqualValues(t, 50, s.Charged(Program{"o", "p"}))
	assert.EqualValues(t, 0, s.Charged(Program{"other", "p"}))
}

// TestBudgetSurvivesASnapshot guards against a program whose budget is reset when
// the state is restored after a restart.
func TestBudgetSurvivesASnapshot(t *testing.T) {
	s := New()
	s.Apply(Command{UnixSeconds: 100, Reserves: []Reserve{reserve("a", 100, 60)}})
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	assert.False(t, restored.Fits(reserve("b", 100, 41)))
	assert.True(t, restored.Fits(reserve("b", 100, 40)))
	restored.Apply(Command{UnixSeconds: 100 + 2*minRetentionSeconds})
	assert.Zero(t, restored.Programs(), "a program is removed after its retention")
}

// TestNeverAboveTheBudget guards against a sequence of reservations and settlements
// that exceeds a budget.
func TestNeverAboveTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		const budget = 500
		ids := []string{"a", "b", "c", "d", "e"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if rapid.Bool().Draw(t, "reserve") {
				s.Apply(Command{Reserves: []Reserve{reserve(id, budget, rapid.Int64Range(1, 200).Draw(t, "tokens"))}})
			} else {
				s.Apply(Command{Settles: []Settle{{Program: Program{"o", "p"}, Request: id, Used: rapid.Int64Range(-5, 400).Draw(t, "used")}}})
			}
			if charged := s.Charged(Program{"o", "p"}); charged > budget {
				t.Fatalf("charged %d of %d", charged, budget)
			}
		}
	})
}
