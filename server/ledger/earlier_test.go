package ledger

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
)

// overForm encodes a message in a form and decodes it.
func overForm[T any](t *testing.T, form linkForm, k messageKind, value T) T {
	t.Helper()
	message, err := form.encode(k, &value)
	require.NoError(t, err)
	got, payload, err := decode(bufio.NewReader(bytes.NewReader(message)))
	require.NoError(t, err)
	assert.Equal(t, k, got)
	payload, err = form.decoded(k, payload)
	require.NoError(t, err)
	var decoded T
	require.NoError(t, compact.Unmarshal(payload, &decoded))
	return decoded
}

// TestEarlierFormLacksOnlyTheNewFields guards against a conversion that removes another field
// than the one that an earlier release does not know.
func TestEarlierFormLacksOnlyTheNewFields(t *testing.T) {
	r := turnRequest("a", 100, 60)
	r.Exclude, r.Unreachable, r.DataCentre = []string{"x"}, []string{"u"}, "d"
	want := r
	want.Unreachable = nil
	assert.Equal(t, want, overForm(t, earlierForm, kindAdmit, r))
	assert.Equal(t, r, overForm(t, currentForm, kindAdmit, r))
	response := AdmitResponse{ID: "a", Target: "t", Software: "v1", StartedUnixMS: 7, Reason: "load", Holders: []string{"h"}}
	wantResponse := response
	wantResponse.StartedUnixMS = 0
	assert.Equal(t, wantResponse, overForm(t, earlierForm, kindAdmitResponse, response))
	assert.Equal(t, response, overForm(t, currentForm, kindAdmitResponse, response))
}

// TestEntryOfTheEarlierReleaseIsServed guards against an upgrade during which entries of the
// earlier release get no requests admitted, and against entries that keep the earlier form.
func TestEntryOfTheEarlierReleaseIsServed(t *testing.T) {
	s := startStore(t, t.TempDir())
	s.awaitLeader(t)
	failed := make(chan error, 1)
	l, err := dialLink(s.address, earlierForm, "", func(_ *clientLink, err error) { failed <- err })
	require.NoError(t, err)
	defer l.close(nil)
	require.Error(t, <-failed, "the store VM knows that the entry is of the current release")
	c := startClient(t, func() []string { return []string{s.address} })
	c.noteForm(s.address, currentForm, errHandshake)
	require.Equal(t, earlierForm, c.formFor(s.address))
	response, err := c.Admit(t.Context(), turnRequest("a", 100, 60))
	require.NoError(t, err)
	assert.Equal(t, "t", response.Target)
	assert.Equal(t, currentForm, c.connect(t.Context()).form)
}

// TestCommandsStayReadableForEarlierReleases guards against reservations that a store VM of
// an earlier release skips because it does not know the form of the command.
func TestCommandsStayReadableForEarlierReleases(t *testing.T) {
	c := ledger.Command{UnixSeconds: 7, Reserves: []ledger.Reserve{{Program: ledger.Program{ID: "p"}, Request: "r", Budget: 10, Tokens: 5}}}
	data, err := encodeCommand(c)
	require.NoError(t, err)
	var earlier historyCommand
	require.NoError(t, compact.Unmarshal(data, &earlier))
	assert.Equal(t, c.Reserves, earlier.Reserves)
	decoded, err := decodeCommand(data)
	require.NoError(t, err)
	assert.Equal(t, c, decoded)
	c.Leaving = []catalog.Incarnation{{Target: "t", StartedUnixMS: 1}}
	data, err = encodeCommand(c)
	require.NoError(t, err)
	decoded, err = decodeCommand(data)
	require.NoError(t, err)
	assert.Equal(t, c, decoded)
}
