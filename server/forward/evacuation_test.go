package forward

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/server/registry"
)

// evacuableEntry starts an entry that knows targets of the services plain and engine at the given
// addresses, all in data centre a. Data centre a is evacuated while the returned value is set.
func evacuableEntry(t *testing.T, l *testLedger, addresses ...string) (server string, evacuated *atomic.Bool) {
	t.Helper()
	evacuated = &atomic.Bool{}
	s := startEntryWithLatest(t, l, true, newTestHistories(), func(v registry.View) *registry.View {
		for _, address := range addresses {
			v.Targets = append(v.Targets, catalog.Target{ID: "t-" + address, Service: "plain", Address: address, DataCentre: "a", State: catalog.Ready})
		}
		slices.SortFunc(v.Targets, func(x, y catalog.Target) int {
			if x.ID < y.ID {
				return -1
			}
			return 1
		})
		if evacuated.Load() {
			v.Evacuations = registry.Evacuations{Revision: 1, DataCentres: []string{"a"}}
		}
		return &v
	})
	return s.URL, evacuated
}

// TestNothingIsSentToAnEvacuatedDataCentre guards against an entry that sends a request there
// because its leader doesn't know the order, and against one that sends nothing after the end. A
// target that the entry's copy doesn't list is not held back.
func TestNothingIsSentToAnEvacuatedDataCentre(t *testing.T) {
	there := startFakeTarget(t, responseText("200 OK", "r", "", "there"), responseText("200 OK", "r", "", "late"))
	second := startFakeTarget(t, responseText("200 OK", "r", "", "second"))
	unlisted := startFakeTarget(t, responseText("200 OK", "r", "", "elsewhere"))
	l := &testLedger{targets: []string{there.address}}
	url, evacuated := evacuableEntry(t, l, there.address, second.address)
	status, body, err := postTo(t, url, "/once/x")
	require.NoError(t, err)
	require.Equal(t, "there", body)
	require.Equal(t, http.StatusOK, status)

	evacuated.Store(true)
	l.setTargets(there.address, unlisted.address)
	status, body, err = postTo(t, url, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status, "granted again elsewhere")
	assert.Equal(t, "elsewhere", body)
	assert.Contains(t, l.results(), "evacuated,ok", "the grant is given back")
	assert.Subset(t, l.admitted()[len(l.admitted())-1].Exclude, []string{"t-" + there.address, "t-" + second.address}, "the leader hears of all of them at once")

	l.setTargets(there.address)
	status, _, err = postTo(t, url, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status, "refused as not run")
	assert.Len(t, there.requests(), 1)
	assert.Empty(t, second.requests())

	evacuated.Store(false)
	l.setTargets(there.address)
	_, body, err = postTo(t, url, "/once/x")
	require.NoError(t, err)
	assert.Equal(t, "late", body)
}

// TestStreamIsNotResumedInAnEvacuatedDataCentre guards against a continuation that is sent there
// after the order, because its leader grants it.
func TestStreamIsNotResumedInAnEvacuatedDataCentre(t *testing.T) {
	there := startFakeTarget(t, streamHeader+chunk(eventText(1))+"<cut>", streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	other := startFakeTarget(t, streamHeader+chunk(eventText(2))+"0\r\n\r\n")
	l := &testLedger{targets: []string{there.address, other.address}}
	url, evacuated := evacuableEntry(t, l, there.address)
	l.onAdmit = func(n int) { evacuated.Store(n > 1) }
	_, body, err := postTo(t, url, "/retried/x")
	require.NoError(t, err)
	assert.Equal(t, eventText(1)+eventText(2), body)
	assert.Len(t, there.requests(), 1)
	assert.Len(t, other.requests(), 1)
}

// TestExcludedTargetsAreBounded guards against admission requests that grow with the targets of a
// data centre.
func TestExcludedTargetsAreBounded(t *testing.T) {
	view := &registry.View{Evacuations: registry.Evacuations{DataCentres: []string{"a"}}}
	for i := range 2 * maxExcluded {
		view.Targets = append(view.Targets, catalog.Target{ID: fmt.Sprintf("t%04d", i), Service: "s", DataCentre: "a", State: catalog.Ready})
	}
	excluded := excludeEvacuated([]string{"t0001"}, view, "s")
	assert.Len(t, excluded, maxExcluded)
	assert.Len(t, slices.Compact(slices.Sorted(slices.Values(excluded))), maxExcluded, "none twice")
	assert.Empty(t, excludeEvacuated(nil, view, "other"))
}

// TestSendCountersAreBounded guards against a counter for each name that heartbeats state.
func TestSendCountersAreBounded(t *testing.T) {
	metrics, counters := gometrics.NewRegistry(), sendCounters{}
	for i := range 3 * maxSendCounters {
		counters.count(fmt.Sprint("dc-", i), metrics)
	}
	counters.count("", metrics)
	registered := 0
	metrics.Each(func(string, any) { registered++ })
	assert.LessOrEqual(t, registered, maxSendCounters+1)
	assert.EqualValues(t, 1, gometrics.GetOrRegisterCounter("forward_sends;data_centre=dc-5", metrics).Count())
	assert.EqualValues(t, 2*maxSendCounters+1, gometrics.GetOrRegisterCounter("forward_sends;data_centre=other", metrics).Count())
}
