package history

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func keep(id string, holders ...string) Keep {
	return Keep{Turn: Turn{Organisation: "o", ID: id}, Holders: holders, RetentionSeconds: 60}
}

// stored is the change that follows keep once the holders have the record.
func stored(id string, holders ...string) Keep {
	k := keep(id, holders...)
	k.Copied = true
	return k
}

// requireStored records a turn whose holders have its record.
func requireStored(t *testing.T, d *Directory, id string, holders ...string) {
	t.Helper()
	require.True(t, d.Keep(100, keep(id, holders...)))
	require.True(t, d.Keep(100, stored(id, holders...)))
}

// TestTurnsBelongToTheirOrganisation guards against reading the turn of another
// organisation.
func TestTurnsBelongToTheirOrganisation(t *testing.T) {
	d := NewDirectory()
	require.True(t, d.Keep(100, keep("t", "s0", "s1")))
	holders, known := d.Lookup(Turn{"o", "t"})
	assert.True(t, known)
	assert.Equal(t, []string{"s0", "s1"}, holders)
	_, known = d.Lookup(Turn{"p", "t"})
	assert.False(t, known)
	_, known = d.Lookup(Turn{"", "o/t"})
	assert.False(t, known)
}

// TestKeepIsIdempotent guards against a repeated change that loses holders, and against
// holders that were replaced while a reader uses the old list.
func TestKeepIsIdempotent(t *testing.T) {
	d := NewDirectory()
	require.True(t, d.Keep(100, keep("t", "s0", "s1")))
	before, _ := d.Lookup(Turn{"o", "t"})
	require.True(t, d.Keep(100, keep("t", "s0", "s1")))
	require.True(t, d.Keep(110, keep("t", "s1", "s2")))
	after, _ := d.Lookup(Turn{"o", "t"})
	assert.Equal(t, []string{"s0", "s1", "s2"}, after)
	assert.Equal(t, []string{"s0", "s1"}, before)
}

// TestRetiredStorageIsRefused guards against a record whose only copies lie on VMs that
// are about to be removed with their disks.
func TestRetiredStorageIsRefused(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "t", "s0", "s1")
	d.Retire(100, "s0")
	assert.False(t, d.Keep(100, keep("u", "s0", "s1")))
	stores := newStores(3)
	assert.True(t, d.Needs(100, "s0", true, stores, 2))
	plan := new(Repair).Plan(d, 100, stores, 2, 10)
	require.Len(t, plan.Copies, 1)
	assert.Equal(t, "s2", plan.Copies[0].To.Storage)
	require.True(t, d.Keep(100, stored("t", "s2")))
	assert.False(t, d.Needs(100, "s0", true, stores, 2))
	d.Expire(100 + retiredSeconds)
	assert.True(t, d.Retired("s0"))
	d.Expire(101 + retiredSeconds)
	assert.False(t, d.Retired("s0"), "retired storages are not remembered without end")
}

// TestRetirementWaitsForAbsentVMs guards against a VM that is removed with the last copy of
// a turn while the VMs that should get a copy are down.
func TestRetirementWaitsForAbsentVMs(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "t", "s0", "s1")
	d.Retire(100, "s0")
	assert.True(t, d.Needs(100, "s0", true, newStores(1), 2))
	assert.True(t, d.Needs(100, "s0", true, newStores(2), 2))
	assert.False(t, d.Needs(100, "s2", true, newStores(1), 2), "it holds nothing")
}

// TestRepair guards against missing copies that are not planned, copies from a VM that
// has lost its disk, and endless work for expired or lost turns.
func TestRepair(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "one", "s0", "s1")
	requireStored(t, d, "two", "s1", "s2")
	requireStored(t, d, "none", "s0")
	plan := new(Repair).Plan(d, 100, newStores(4)[1:], 2, 10)
	require.Len(t, plan.Copies, 1)
	assert.Equal(t, "one", plan.Copies[0].Turn.ID)
	assert.Equal(t, "s1", plan.Copies[0].From.Storage)
	assert.Contains(t, []string{"s2", "s3"}, plan.Copies[0].To.Storage)
	assert.Equal(t, RepairPlan{Copies: plan.Copies, Missing: 2, Lost: 1}, plan)
	assert.Equal(t, RepairPlan{}, new(Repair).Plan(d, 101+copyFactor*60, newStores(4)[1:], 2, 10), "the retention of 60 s has passed")
	assert.Equal(t, RepairPlan{Missing: 1, Lost: 1}, new(Repair).Plan(d, 100, newStores(4)[1:2], 2, 10), "no VM is left for a second copy")
}

// TestFailedCopiesComeLast guards against a turn that is never copied, because the same copies
// are planned again and again although they fail.
func TestFailedCopiesComeLast(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "a", "s0", "s1", "s2")
	requireStored(t, d, "b", "s0", "s1", "s2")
	var r Repair
	stores := newStores(4)[1:]
	sources := make(map[string]bool)
	for _, want := range []string{"a", "b", "a", "b"} {
		plan := r.Plan(d, 100, stores, 3, 1)
		require.Len(t, plan.Copies, 1)
		require.Equal(t, want, plan.Copies[0].Turn.ID)
		if want == "a" {
			sources[plan.Copies[0].From.Storage] = true
		}
		r.Failed(plan.Copies[0].Turn)
	}
	assert.Len(t, sources, 2, "each holder is asked")
	require.True(t, d.Keep(100, stored("a", "s3")))
	require.Len(t, r.Plan(d, 100, stores, 3, 10).Copies, 1)
	assert.Equal(t, map[Turn]int{{"o", "b"}: 2}, r.failures, "failures of complete turns are forgotten")
}

// TestNamedHoldersAreNoCopies guards against a VM that was named as a holder and does not have the
// record, but counts as a copy: for the copies that are planned and for a retirement.
func TestNamedHoldersAreNoCopies(t *testing.T) {
	d := NewDirectory()
	stores := newStores(4)
	require.True(t, d.Keep(100, keep("t", "s0", "s1")))
	assert.Equal(t, []Turn{{"o", "t"}}, d.UnconfirmedOn(100, "s1"))
	assert.Equal(t, RepairPlan{}, new(Repair).Plan(d, 100, stores, 2, 10), "nothing to copy")
	assert.False(t, d.Needs(100, "s0", true, stores, 2), "the VM was asked and does not have it")
	require.True(t, d.Keep(100, stored("t", "s0", "s2")))
	assert.Equal(t, []string{"s1"}, d.Named(Turn{"o", "t"}))
	assert.True(t, d.Needs(100, "s0", true, stores, 2), "s1 does not have it")
	assert.False(t, d.Needs(100, "s1", true, stores, 2))
	plan := new(Repair).Plan(d, 100, stores[1:], 2, 10)
	require.Len(t, plan.Copies, 1)
	assert.Equal(t, "s2", plan.Copies[0].From.Storage)
	assert.Equal(t, "s1", plan.Copies[0].To.Storage, "it may have the record")
	holders, _ := d.Lookup(Turn{"o", "t"})
	assert.Equal(t, []string{"s0", "s2", "s1"}, holders, "those that have the record are read first")
	assert.Empty(t, d.unconfirmed)
	require.True(t, d.Keep(100, keep("t", "s0", "s3")))
	assert.Equal(t, []string{"s1", "s3"}, d.Named(Turn{"o", "t"}), "a repeated change makes no holder unconfirmed")
}

// TestRetiredHolderIsConfirmed guards against a turn whose copies are not known because one of
// its holders was retired while it was stored.
func TestRetiredHolderIsConfirmed(t *testing.T) {
	d := NewDirectory()
	require.True(t, d.Keep(100, keep("t", "s0", "s1")))
	d.Retire(100, "s1")
	require.True(t, d.Keep(100, stored("t", "s0", "s1")))
	assert.True(t, d.Needs(100, "s1", true, newStores(2), 2))
	assert.False(t, d.Keep(100, keep("t", "s1")))
	d.Retire(100, "s2")
	assert.False(t, d.Keep(100, stored("t", "s2")), "it was not named before")
}

// TestHoldersAreBounded guards against a list of holders that grows without end, and against one
// that leaves out VMs with the record before others.
func TestHoldersAreBounded(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "t", "s0")
	for i := range 2 * maxHolders {
		require.True(t, d.Keep(100, keep("t", fmt.Sprint("named", i))))
	}
	holders, _ := d.Lookup(Turn{"o", "t"})
	assert.Len(t, holders, maxHolders)
	assert.Equal(t, "s0", holders[0])
	for i := range 2 * maxHolders {
		require.True(t, d.Keep(100, stored("t", fmt.Sprint("copy", i))))
	}
	holders, _ = d.Lookup(Turn{"o", "t"})
	assert.Len(t, holders, maxHolders)
	assert.Equal(t, fmt.Sprint("copy", 2*maxHolders-1), holders[maxHolders-1])
	assert.Empty(t, d.Named(Turn{"o", "t"}))
}

// TestImageOfEarlierRelease guards against holders that count as copies although the release that
// wrote the snapshot did not know whether they have the record.
func TestImageOfEarlierRelease(t *testing.T) {
	var image Image
	require.NoError(t, json.Unmarshal([]byte(`{"t":[{"t":{"o":"o","i":"t"},"h":["s0","s1"],"k":100,"r":60}]}`), &image))
	d := FromImage(image)
	assert.Equal(t, []string{"s0", "s1"}, d.Named(Turn{"o", "t"}))
	var asked []Turn
	d.Unconfirmed(100, func(turn Turn, named []string) { asked = append(asked, turn) })
	assert.Equal(t, []Turn{{"o", "t"}}, asked)
}

// TestCopyOfAnExpiredTurn guards against a late copy that makes an expired turn known again.
func TestCopyOfAnExpiredTurn(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "t", "s0")
	d.Expire(100 + retentionFactor*60)
	assert.Equal(t, 1, d.Len())
	d.Expire(101 + retentionFactor*60)
	assert.Zero(t, d.Len())
	assert.False(t, d.Keep(300, stored("t", "s1")))
}

// TestImage guards against a snapshot that loses turns, holders or retirements.
func TestImage(t *testing.T) {
	d := NewDirectory()
	requireStored(t, d, "t", "s0", "s1")
	require.True(t, d.Keep(100, stored("t", "s1")))
	require.True(t, d.Keep(100, keep("u", "s0")))
	d.Retire(100, "s7")
	data, err := json.Marshal(d.Image())
	require.NoError(t, err)
	var image Image
	require.NoError(t, json.Unmarshal(data, &image))
	assert.Equal(t, d, FromImage(image))
}

// TestUnaskedVMMayHaveRecords guards against a VM that counts as empty although it was named as a
// holder and nobody knows whether it has the record.
func TestUnaskedVMMayHaveRecords(t *testing.T) {
	d := NewDirectory()
	require.True(t, d.Keep(100, Keep{Turn: Turn{ID: "x"}, Holders: []string{"s0"}, RetentionSeconds: 60}))
	d.Retire(100, "s0")
	others := newStores(4)[1:]
	assert.True(t, d.Needs(100, "s0", false, others, 2))
	assert.False(t, d.Needs(100, "s0", true, others, 2), "it was asked and does not have it")
	require.True(t, d.Keep(100, Keep{Turn: Turn{ID: "x"}, Holders: []string{"s1", "s2"}, Copied: true}))
	assert.False(t, d.Needs(100, "s0", false, others, 2), "two others have it")
}

// TestLostConfirmationIsNoticed guards against a VM that counts as asked although the directory has
// not recorded what it answered.
func TestLostConfirmationIsNoticed(t *testing.T) {
	d := NewDirectory()
	x, y := Turn{ID: "x"}, Turn{ID: "y"}
	for _, turn := range []Turn{x, y} {
		require.True(t, d.Keep(100, Keep{Turn: turn, Holders: []string{"s0"}, RetentionSeconds: 60}))
	}
	require.True(t, d.Keep(100, Keep{Turn: y, Holders: []string{"s0"}, Copied: true}))
	assert.Equal(t, 1, d.CountNamed("s0", []Turn{x, y, {ID: "expired"}}))
	assert.Zero(t, d.CountNamed("s1", []Turn{x, y}))
}
