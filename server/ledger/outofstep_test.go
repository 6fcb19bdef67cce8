package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/registry"
)

// TestEntryOutOfStepContinuesAtTheSameVersion guards against an entry that missed a release and
// lets a stream, which began at a new target through another entry, go on at another version.
func TestEntryOutOfStepContinuesAtTheSameVersion(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	addresses := func() []string { return []string{s.address} }
	outOfStep, other := startClient(t, addresses), startClient(t, addresses)
	_, err := outOfStep.Admit(t.Context(), turnRequest("before the release", 1000, 10))
	require.NoError(t, err)
	released := catalog.Target{ID: "new", Service: "s", Address: "10.0.0.2:1", Software: "v2", Slots: 9, State: catalog.Ready}
	earlier := s.view.Load()
	view := &registry.View{Revision: 2, Targets: append([]catalog.Target{released}, earlier.Targets...)}
	s.view.Store(view)
	s.host.Update(view)
	begun := turnRequest("begun", 1000, 10)
	begun.Stream, begun.Exclude = true, []string{"t"}
	response, err := other.Admit(t.Context(), begun)
	require.NoError(t, err)
	require.Equal(t, "v2", response.Software)

	again := turnRequest("again", 1000, 10)
	again.Stream, again.Continues, again.Resumes, again.Exclude = true, true, "begun", []string{"new"}
	response, err = outOfStep.Admit(t.Context(), again)
	require.NoError(t, err)
	assert.Equal(t, "v2", response.Software, "no other version, although the entry excludes the target")

	view = &registry.View{Revision: 3, Targets: earlier.Targets}
	s.view.Store(view)
	s.host.Update(view)
	again = turnRequest("after it left", 1000, 10)
	again.Stream, again.Continues, again.Resumes = true, true, "begun"
	response, err = outOfStep.Admit(t.Context(), again)
	require.NoError(t, err)
	assert.Equal(t, "software_gone", string(response.Refusal))
}
