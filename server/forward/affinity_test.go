package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/registry"
)

// TestAffinityOnlyOfStickyRoutes guards against requests that get an affinity although their route is
// not sticky, and against a key that the ledger does not get.
func TestAffinityOnlyOfStickyRoutes(t *testing.T) {
	target := startFakeTarget(t, responseText("200 OK", "r", "", "a"), responseText("200 OK", "r", "", "a"), responseText("200 OK", "r", "", "a"))
	l := &testLedger{targets: []string{target.address, target.address, target.address}}
	server := startEntryWithLatest(t, l, true, newTestHistories(), func(v registry.View) *registry.View {
		c := v.Table.Configuration
		c.Routes = append([]routing.Route(nil), c.Routes...)
		for i := range c.Routes {
			c.Routes[i].Sticky = c.Routes[i].Name == "again"
		}
		v.Table = routing.NewTable(c)
		return &v
	})
	for _, path := range []string{"/again/x", "/once/x"} {
		status, _, err := post(t, server, path, "Affinity", "object")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	_, _, err := post(t, server, "/again/x")
	require.NoError(t, err)
	require.Len(t, l.admissions, 3)
	assert.Equal(t, affinityOf("object"), l.admissions[0].Affinity)
	assert.Zero(t, l.admissions[1].Affinity, "the route is not sticky")
	assert.Zero(t, l.admissions[2].Affinity, "no key")
}

// TestNoAffinityWithPromptParts guards against requests that are placed by a key instead of the parts
// that targets have cached. A plain service does not use the parts.
func TestNoAffinityWithPromptParts(t *testing.T) {
	for _, engine := range []*routing.Engine{nil, {Slots: 1}} {
		x := &exchange{
			entry:   New(testOptions(&testLedger{}, true, newTestHistories(), &testView{})),
			request: httptest.NewRequest(http.MethodPost, "/x", nil),
			call:    Call{ID: "r", AffinityKey: "k", Parts: []dispatch.Part{{ID: "p", Tokens: 5}}},
			route:   &routing.Route{Sticky: true}, service: &routing.Service{Name: "s", Engine: engine},
		}
		assert.Equal(t, engine == nil, x.newAdmitRequest().Affinity != 0)
		x.call.Parts = nil
		assert.NotZero(t, x.newAdmitRequest().Affinity)
	}
}

// TestAffinityHashesABoundedKey guards against keys that differ only after 256 bytes and get different
// targets, and against a missing key that counts as one.
func TestAffinityHashesABoundedKey(t *testing.T) {
	long := strings.Repeat("k", maxAffinityKeyBytes)
	assert.Equal(t, affinityOf(long), affinityOf(long+"x"))
	assert.NotEqual(t, affinityOf(long), affinityOf(long[1:]+"x"))
	assert.NotEqual(t, affinityOf(long), affinityOf(long[1:]))
	assert.Zero(t, affinityOf(""))
	assert.NotZero(t, affinityOf("a"))
	assert.NotEqual(t, affinityOf("a"), affinityOf("b"))
}
