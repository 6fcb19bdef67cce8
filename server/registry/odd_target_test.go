package registry

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

// TestFollowerSkipsOddTargets guards against a VM that uses a target which an earlier release
// has recorded although it can't be used, and against one that stops following the catalog.
func TestFollowerSkipsOddTargets(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := NewFollower(FollowerOptions{Log: logrus.NewEntry(log)})
	valid := catalog.Target{ID: "valid", Service: "s", Address: "10.0.0.1:80", Slots: 1, State: catalog.Ready}
	odd := catalog.Target{ID: "odd", Service: "s", Address: "10.0.0.1:99999", Slots: -7, State: catalog.Ready}
	f.adopt(f.View(), Transfer{Revision: 1, Targets: []catalog.Target{odd, valid}}, "control")
	assert.Equal(t, []catalog.Target{valid}, f.View().Targets)
	next := valid
	next.ID, next.Address = "next", "10.0.0.2:80"
	f.adopt(f.View(), Transfer{Revision: 2, Partial: true, Targets: []catalog.Target{odd, next}}, "control")
	assert.Equal(t, []catalog.Target{next, valid}, f.View().Targets)
	odd.State = catalog.Gone
	f.adopt(f.View(), Transfer{Revision: 3, Partial: true, Targets: []catalog.Target{odd}}, "control")
	assert.Len(t, f.View().Targets, 2)
}

// TestOddTargetsAreRestored guards against a control VM that does not start because its
// snapshot has a target that can't be used.
func TestOddTargetsAreRestored(t *testing.T) {
	s := catalog.New()
	odd := catalog.Target{ID: "odd", Service: "s", Address: "10.0.0.1:99999", Slots: -7, State: catalog.Ready}
	s.Apply(1, catalog.Command{PutTarget: &odd})
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := catalog.New()
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, []catalog.Target{odd}, restored.Live())
}
