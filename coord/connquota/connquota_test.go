package connquota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// open opens n connections of an owner and returns how many were granted, and the last reason.
func open(q *Quota, owner string, n int) (granted int, last Reason) {
	for range n {
		if last = q.Open(owner); last == Granted {
			granted++
		}
	}
	return granted, last
}

// TestOneOwner guards against one caller that takes all connections of an address.
func TestOneOwner(t *testing.T) {
	q := New(100)
	granted, reason := open(q, "a", 1000)
	assert.Equal(t, 75, granted)
	assert.Equal(t, OwnerShare, reason)
	granted, _ = open(q, "b", 1000)
	assert.Equal(t, 25, granted, "the rest is left to others")
	assert.Equal(t, Exhausted, q.Open("c"))
}

// TestManyOwners guards against an address that exceeds its limit when each caller has few
// connections, and against state that remains of callers without connections.
func TestManyOwners(t *testing.T) {
	q := New(100)
	for i := range 300 {
		want := Granted
		if i >= 100 {
			want = Exhausted
		}
		assert.Equal(t, want, q.Open(fmt.Sprint(i)))
	}
	for i := range 100 {
		q.Close(fmt.Sprint(i))
	}
	assert.Zero(t, q.Connections())
	assert.Zero(t, q.Owners())
	assert.Equal(t, Granted, q.Open("a"))
}
