package control

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/fleet"
)

// FuzzOperatorInput guards against bodies and headers that crash control, that are
// refused without a code or with a wrong "executed", or that change the configuration
// although they are refused.
func FuzzOperatorInput(f *testing.F) {
	c, log, _, _ := newControl(f)
	handler := c.HTTPHandler()
	paths := []string{"/organisations/a", "/profiles/a", "/services/a", "/keys", "/targets/a/drain", "/deployment", "/quorum/voters"}
	for i, body := range []string{`{"name":"x"}`, `{"organisation":"a","limits":{"burst":1e400}}`, `{"kind":"engine","profiles":{"a":null}}`, `{"id":"\ud800"}`, `{"draining":1}`, `{"shards":-1}`, `[[[[`} {
		f.Add(uint8(i), body, "0", "op")
	}
	f.Fuzz(func(t *testing.T, path uint8, body, match, operation string) {
		urlPath := paths[int(path)%len(paths)]
		method := http.MethodPut
		if !strings.HasSuffix(urlPath, "/a") && urlPath != "/deployment" {
			method = http.MethodPost
		}
		before := log.machine.State.Revision()
		r := httptest.NewRequest(method, "/v1/admin"+urlPath, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testToken)
		r.Header[headerIfMatch] = []string{match}
		r.Header[headerOperationID] = []string{operation}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code < http.StatusBadRequest {
			return
		}
		var p Problem
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
		require.Equal(t, executedNo, p.Executed)
		require.NotEmpty(t, p.Code)
		require.Less(t, p.Status, http.StatusInternalServerError, "%s", p.Detail)
		require.Equal(t, before, log.machine.State.Revision())
	})
}

// FuzzLogEntry guards against log entries and polls that crash a control VM.
func FuzzLogEntry(f *testing.F) {
	f.Add([]byte(`{"register_vm":{"id":"v","incarnation":"a"}}`))
	f.Add([]byte(`{"vm":{"id":"v"},"revision":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, _, _, _ := newControl(t)
		_, ok := c.o.State.Apply(1, data).(fleet.Result)
		require.True(t, ok)
		for _, handle := range []func() error{
			func() error { _, err := c.handlePoll(t.Context(), data); return err },
			func() error { _, err := c.handleAssign(t.Context(), data); return err },
		} {
			if err := handle(); err != nil {
				require.False(t, errors.Is(err, ErrUnknownOutcome))
			}
		}
	})
}
