package registry

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

func newStoredFollower(t *testing.T, path string) *Follower {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := NewFollower(FollowerOptions{Log: logrus.NewEntry(log)})
	go f.KeepStored(t.Context(), path)
	return f
}

// TestRestartWithoutControlKnowsTheTargets guards against a store VM that leads without a
// catalog, and so serves nothing, because it has restarted while control can't be reached.
func TestRestartWithoutControlKnowsTheTargets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "catalog")
	first := newStoredFollower(t, path)
	target := catalog.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1, State: catalog.Ready}
	configuration := routing.Configuration{Version: 7, Services: []routing.Service{{Name: "s"}}}
	first.adopt(first.View(), Transfer{Revision: 9, ConfigurationRevision: 8, Configuration: &configuration, Targets: []catalog.Target{target}}, "control")
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 5*time.Second, 10*time.Millisecond)

	second := newStoredFollower(t, path)
	assert.Zero(t, second.View().Revision, "control is asked first")
	require.Eventually(t, func() bool { return second.View().Revision > 0 }, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, []catalog.Target{target}, second.View().Targets)
	assert.EqualValues(t, 7, second.View().version())
	second.adopt(second.View(), Transfer{Revision: 2, Targets: []catalog.Target{}}, "control")
	assert.Empty(t, second.View().Targets, "what control says replaces the stored catalog")
	assert.EqualValues(t, 7, second.View().version(), "the configuration never returns to an earlier version")
}

// TestTornStoredCatalogIsIgnored guards against a VM that does not start, or uses half a
// catalog, after its disk lost the end of the file.
func TestTornStoredCatalogIsIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "catalog")
	view := &View{Revision: 2, Targets: []catalog.Target{{ID: "t", Service: "s", Address: "10.0.0.1:80"}}}
	require.NoError(t, view.store(path))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, data[:len(data)/2], storedMode))
	f := newStoredFollower(t, path)
	time.Sleep(storedDelay + 200*time.Millisecond)
	assert.Zero(t, f.View().Revision)
}
