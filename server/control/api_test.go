package control

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperatorsAPI guards against refusals without a code or path or with a wrong
// "executed", and against writes that skip a check. The cases run in order on one
// deployment.
func TestOperatorsAPI(t *testing.T) {
	_, _, s, _ := newControl(t)
	profile := `{"organisation":"acme","limits":{"rate_per_second":10,"burst":20}}`
	for _, c := range []struct {
		method, path, body string
		headers            []string
		status             int
		code, problemPath  string
	}{
		{"GET", "/organisations", "", []string{"Authorization", "Bearer wrong"}, 401, "unauthenticated", "Authorization"},
		{"PUT", "/organisations/acme", `{"name":"Acme"}`, []string{"If-Match", "0"}, 200, "", ""},
		{"PUT", "/organisations/acme", `{"name":"Acme"}`, []string{"If-Match", "0"}, 412, "revision_conflict", "put_organisation"},
		{"PUT", "/organisations/acme", `{"nmae":"Acme"}`, nil, 400, "invalid", "nmae"},
		{"PUT", "/organisations/acme", `{"name":7}`, nil, 400, "invalid", "name"},
		{"PUT", "/organisations/acme", `{"name":"A"} x`, nil, 400, "invalid", "body"},
		{"PUT", "/organisations/acme", `{"id":"other"}`, nil, 400, "invalid", "body"},
		{"PUT", "/organisations/acme", `{"name":"` + strings.Repeat("x", maxBodyBytes) + `"}`, nil, 413, "body_too_large", "body"},
		{"PUT", "/organisations/acme", `{"profile":"none"}`, nil, 404, "not_found", "put_organisation.profile"},
		{"PUT", "/organisations/acme", `{}`, []string{"If-Match", "x"}, 400, "invalid", "If-Match"},
		{"PUT", "/profiles/p1", profile, []string{"Operation-Id", "op-1"}, 200, "", ""},
		{"PUT", "/profiles/p1", profile, []string{"Operation-Id", "op-1"}, 200, "", ""},
		{"PUT", "/profiles/p2", profile, []string{"Operation-Id", "op-1"}, 409, "operation_reused", "operation"},
		{"PUT", "/profiles/p2", `{"organisation":"acme","limits":{"rate_per_second":-1}}`, nil, 400, "invalid", "put_profile.limits.rate_per_second"},
		{"PUT", "/organisations/acme", `{"profile":"p1"}`, nil, 200, "", ""},
		{"DELETE", "/profiles/p1", "", nil, 409, "in_use", "remove_profile.id"},
		{"PUT", "/services/llm", `{"kind":"engine","profiles":{"acme":"p1"}}`, nil, 200, "", ""},
		{"PUT", "/services/llm", `{"kind":"motor"}`, nil, 400, "invalid", "put_service.kind"},
		{"GET", "/services/llm", "", nil, 200, "", ""},
		{"GET", "/services/none", "", nil, 404, "not_found", "path"},
		{"GET", "/nothing", "", nil, 404, "not_found", "path"},
		{"PATCH", "/services/llm", "", nil, 405, "method_not_allowed", "method"},
		{"POST", "/vms/none/drain", "", nil, 404, "not_found", "drain_vm.id"},
		{"POST", "/targets/t1/drain", "", nil, 200, "", ""},
		{"POST", "/targets/t1/drain", `{"draining":false}`, nil, 200, "", ""},
		{"POST", "/shards/0/recreate", "", nil, 409, "shard_not_lost", "path"},
		{"POST", "/quorum/voters", `{"name":"c2"}`, nil, 400, "invalid", ""},
		{"POST", "/quorum/voters", `{"name":"c2","storage":"s","rpc_address":"127.0.0.1:5"}`, nil, 200, "", ""},
		{"DELETE", "/quorum/voters/c2", "", nil, 400, "invalid", "storage"},
		{"DELETE", "/quorum/voters/c2?storage=s", "", nil, 200, "", ""},
		{"DELETE", "/keys/none", "", nil, 404, "not_found", "withdraw_key.id"},
		{"DELETE", "/services/llm", "", nil, 200, "", ""},
		{"GET", "/status", "", nil, 200, "", ""},
	} {
		response := request(t, s, c.method, c.path, c.body, c.headers...)
		require.Equal(t, c.status, response.status, "%s %s: %s", c.method, c.path, response.body)
		require.Equal(t, c.code, response.Code, "%s %s: %s", c.method, c.path, response.body)
		if c.problemPath != "" {
			require.Equal(t, c.problemPath, response.Path, "%s %s: %s", c.method, c.path, response.body)
		}
		if c.status >= http.StatusBadRequest {
			require.Equal(t, executedNo, response.Executed)
		}
	}
}
