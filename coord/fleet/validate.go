package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	// MaxShards bounds Deployment.Shards: every state holds an assignment for each.
	MaxShards = 1 << 16
	// MaxReplicas bounds Deployment.Replicas; a write waits for all of them.
	MaxReplicas = 7
	// maxListLength bounds the lists and maps of one object.
	maxListLength = 4096
	// maxTextLength bounds free text, in bytes.
	maxTextLength = 256
	// maxRate bounds rates and bursts, far above any fleet's capacity. Sums of
	// tokens stay exact to a small part of a token in a float64.
	maxRate = 1e9
	// maxMilliseconds bounds durations: 30 days.
	maxMilliseconds = 30 * 24 * 3600 * 1000
)

// namePattern admits names that are safe in URL paths, file names and logs.
// The slash separates a sub-agent's program or an organisation's second bucket.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var errHashFormat = errors.New("want the SHA-256 as 64 lower-case hex digits")

func decodeHash(text string) (hashKey, error) {
	var h hashKey
	if len(text) != 2*sha256.Size || strings.ToLower(text) != text {
		return h, errHashFormat
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return h, errHashFormat
	}
	return h, nil
}

// first returns the first refusal.
func first(errs ...*Error) *Error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkName(place, name string) *Error {
	if !namePattern.MatchString(name) {
		return refuse(CodeInvalid, place, "%q is not a name: want 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit", name)
	}
	return nil
}

func checkOptionalName(place, name string) *Error {
	if name == "" {
		return nil
	}
	return checkName(place, name)
}

func checkText(place, text string) *Error {
	if len(text) > maxTextLength {
		return refuse(CodeInvalid, place, "%d bytes, at most %d", len(text), maxTextLength)
	}
	return nil
}

func checkLength(place string, n int) *Error {
	if n > maxListLength {
		return refuse(CodeInvalid, place, "%d entries, at most %d", n, maxListLength)
	}
	return nil
}

func checkNumber(place string, x, limit float64) *Error {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || x > limit {
		return refuse(CodeInvalid, place, "%v is out of range: want 0 to %v", x, limit)
	}
	return nil
}

func checkCount(place string, x, limit int64) *Error {
	if x < 0 || x > limit {
		return refuse(CodeInvalid, place, "%d is out of range: want 0 to %d", x, limit)
	}
	return nil
}

func exists[T any](place, kind, name string, m map[string]*T) *Error {
	if m[name] == nil {
		return refuse(CodeNotFound, place, "%s %q does not exist", kind, name)
	}
	return nil
}

func checkOrganisation(v *view, o Organisation) *Error {
	const place = "put_organisation."
	err := first(
		checkName(place+"id", o.ID),
		checkText(place+"name", o.Name),
		checkOptionalName(place+"home_region", o.HomeRegion),
		checkOptionalName(place+"profile", o.Profile),
	)
	if err != nil || o.Profile == "" {
		return err
	}
	return checkOwnedProfile(v, place+"profile", o.Profile, o.ID)
}

// checkOwnedProfile refuses a profile that is absent or belongs to another organisation.
func checkOwnedProfile(v *view, place, profile, organisation string) *Error {
	if err := exists(place, "profile", profile, v.profiles); err != nil {
		return err
	}
	if owner := v.profiles[profile].Organisation; owner != organisation {
		return refuse(CodeInvalid, place, "profile %q belongs to organisation %q", profile, owner)
	}
	return nil
}

func checkRemoveOrganisation(v *view, id string) *Error {
	const place = "remove_organisation.id"
	if err := exists(place, "organisation", id, v.organisations); err != nil {
		return err
	}
	for _, k := range sorted(v.keys) {
		if k.Organisation == id && !k.Withdrawn {
			return refuse(CodeInUse, place, "key %q is not withdrawn", k.ID)
		}
	}
	for _, p := range sorted(v.profiles) {
		if p.Organisation == id {
			return refuse(CodeInUse, place, "profile %q belongs to the organisation", p.Name)
		}
	}
	return nil
}

func checkProfile(v *view, p Profile) *Error {
	const place = "put_profile."
	err := first(
		checkName(place+"name", p.Name),
		checkName(place+"organisation", p.Organisation),
		exists(place+"organisation", "organisation", p.Organisation, v.organisations),
		checkLimits(place+"limits", p.Limits),
		checkCount(place+"budget.max_calls", p.Budget.MaxCalls, math.MaxInt64),
		checkCount(place+"budget.max_tokens", p.Budget.MaxTokens, math.MaxInt64),
		checkCount(place+"budget.max_seconds", p.Budget.MaxSeconds, math.MaxInt64/int64(1e9)),
		checkNumber(place+"policy.latency", p.Policy.Latency, maxRate),
		checkNumber(place+"policy.fairness", p.Policy.Fairness, maxRate),
		checkCount(place+"resend.window_ms", p.Resend.WindowMS, maxMilliseconds),
		checkCount(place+"idle_timeout_ms", p.IdleTimeoutMS, maxMilliseconds),
		checkCount(place+"call_timeout_ms", p.CallTimeoutMS, maxMilliseconds),
		checkModels(place, p),
		checkRoutes(v, place+"routes", p.Routes),
	)
	if err != nil {
		return err
	}
	if p.Resend.Identify != "" && p.Resend.Identify != "key" && p.Resend.Identify != "body" {
		return refuse(CodeInvalid, place+"resend.identify", "%q: want \"key\" or \"body\"", p.Resend.Identify)
	}
	if old := v.profiles[p.Name]; old != nil && old.Organisation != p.Organisation {
		return refuse(CodeInvalid, place+"organisation", "profile %q belongs to organisation %q and cannot change its owner", p.Name, old.Organisation)
	}
	return nil
}

func checkLimits(place string, l Limits) *Error {
	if err := first(checkNumber(place+".rate_per_second", l.RatePerSecond, maxRate), checkNumber(place+".burst", l.Burst, maxRate)); err != nil {
		return err
	}
	if l.RatePerSecond > 0 && l.Burst < 1 {
		return refuse(CodeInvalid, place+".burst", "%v is less than one request, so a rate of %v would admit nothing", l.Burst, l.RatePerSecond)
	}
	return nil
}

func checkModels(place string, p Profile) *Error {
	if err := first(checkLength(place+"models", len(p.Models)), checkLength(place+"model_aliases", len(p.ModelAliases))); err != nil {
		return err
	}
	for i, m := range p.Models {
		at := place + "models[" + strconv.Itoa(i) + "]"
		if m == "" {
			return refuse(CodeInvalid, at, "empty model name")
		}
		if err := checkText(at, m); err != nil {
			return err
		}
		if slices.Contains(p.Models[:i], m) {
			return refuse(CodeInvalid, at, "model %q is listed twice", m)
		}
	}
	for _, alias := range slices.Sorted(maps.Keys(p.ModelAliases)) {
		at := fmt.Sprintf("%smodel_aliases[%q]", place, alias)
		model := p.ModelAliases[alias]
		if len(p.Models) > 0 && !slices.Contains(p.Models, model) {
			return refuse(CodeInvalid, at, "model %q is not one of the profile's models", model)
		}
		if err := first(checkText(at, alias), checkText(at, model)); err != nil {
			return err
		}
	}
	return nil
}

func checkRoutes(v *view, place string, routes []Route) *Error {
	if err := checkLength(place, len(routes)); err != nil {
		return err
	}
	for i, r := range routes {
		at := place + "[" + strconv.Itoa(i) + "]"
		if r.Open {
			return refuse(CodeInvalid, at+".open", "a profile cannot open a route: list it in the service's open_routes")
		}
		if err := first(exists(at+".service", "service", r.Service, v.services), checkRoute(at, r)); err != nil {
			return err
		}
	}
	return nil
}

func checkRoute(place string, r Route) *Error {
	if r.Method != strings.ToUpper(r.Method) || strings.ContainsAny(r.Method, " \t\r\n") {
		return refuse(CodeInvalid, place+".method", "%q is not an HTTP method", r.Method)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return refuse(CodeInvalid, place+".path_prefix", "%q does not start with a slash", r.PathPrefix)
	}
	return first(checkText(place+".method", r.Method), checkText(place+".path_prefix", r.PathPrefix))
}

func checkRemoveProfile(v *view, name string) *Error {
	const place = "remove_profile.id"
	if err := exists(place, "profile", name, v.profiles); err != nil {
		return err
	}
	for _, o := range sorted(v.organisations) {
		if o.Profile == name {
			return refuse(CodeInUse, place, "it is the default profile of organisation %q", o.ID)
		}
	}
	for _, s := range sorted(v.services) {
		for _, organisation := range slices.Sorted(maps.Keys(s.Profiles)) {
			if s.Profiles[organisation] == name {
				return refuse(CodeInUse, place, "service %q selects it for organisation %q", s.Name, organisation)
			}
		}
	}
	return nil
}

func checkService(v *view, s Service) *Error {
	const place = "put_service."
	err := first(
		checkName(place+"name", s.Name),
		checkLength(place+"profiles", len(s.Profiles)),
		checkLength(place+"open_routes", len(s.OpenRoutes)),
	)
	if err != nil {
		return err
	}
	if s.Kind != "engine" && s.Kind != "service" {
		return refuse(CodeInvalid, place+"kind", "%q: want \"engine\" or \"service\"", s.Kind)
	}
	for _, organisation := range slices.Sorted(maps.Keys(s.Profiles)) {
		at := fmt.Sprintf("%sprofiles[%q]", place, organisation)
		if err := first(exists(at, "organisation", organisation, v.organisations), checkOwnedProfile(v, at, s.Profiles[organisation], organisation)); err != nil {
			return err
		}
	}
	for i, r := range s.OpenRoutes {
		at := place + "open_routes[" + strconv.Itoa(i) + "]"
		if r.Service != "" && r.Service != s.Name {
			return refuse(CodeInvalid, at+".service", "route of service %q", r.Service)
		}
		if err := checkRoute(at, r); err != nil {
			return err
		}
	}
	return nil
}

func checkRemoveService(v *view, name string) *Error {
	const place = "remove_service.id"
	if err := exists(place, "service", name, v.services); err != nil {
		return err
	}
	for _, p := range sorted(v.profiles) {
		for _, r := range p.Routes {
			if r.Service == name {
				return refuse(CodeInUse, place, "a route of profile %q refers to it", p.Name)
			}
		}
	}
	return nil
}

func checkIssueKey(v *view, k Key) *Error {
	const place = "issue_key."
	err := first(
		checkName(place+"id", k.ID),
		checkName(place+"organisation", k.Organisation),
		exists(place+"organisation", "organisation", k.Organisation, v.organisations),
	)
	if err != nil {
		return err
	}
	hash, decodeErr := decodeHash(k.Hash)
	if decodeErr != nil {
		return refuse(CodeInvalid, place+"hash", "%v", decodeErr)
	}
	if k.Withdrawn {
		return refuse(CodeInvalid, place+"withdrawn", "a key is issued valid")
	}
	// Neither the id nor the secret of a key is ever used again, so a withdrawn key cannot come back.
	if old := v.keys[k.ID]; old != nil {
		return refuse(CodeExists, place+"id", "key %q was issued already", k.ID)
	}
	if old := v.keysByHash[hash]; old != nil {
		return refuse(CodeExists, place+"hash", "key %q has the same secret", old.ID)
	}
	return nil
}

func checkVM(v *view, m VM) *Error {
	const place = "register_vm."
	err := first(
		checkName(place+"id", m.ID),
		checkName(place+"incarnation", m.Incarnation),
		checkName(place+"data_centre", m.DataCentre),
		checkOptionalName(place+"region", m.Region),
		checkAddress(place+"rpc_address", m.RPCAddress),
		checkAddress(place+"http_address", m.HTTPAddress),
	)
	if err != nil {
		return err
	}
	if m.Role != RoleEntry && m.Role != RoleControl {
		return refuse(CodeInvalid, place+"role", "%q: want \"entry\" or \"control\"", m.Role)
	}
	if slices.Contains(v.retired, m.VMRef) {
		return refuse(CodeVMReplaced, place+"incarnation", "a later process registered as VM %q", m.ID)
	}
	return nil
}

func checkAddress(place, address string) *Error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return refuse(CodeInvalid, place, "%q is not IP:port", address)
	}
	return nil
}

// checkVMRef refuses a VM that is absent or whose incarnation is another one.
func checkVMRef(v *view, place string, r Ref) *Error {
	if err := exists(place+".id", "VM", r.ID, v.vms); err != nil {
		return err
	}
	if have := v.vms[r.ID].Incarnation; r.Incarnation != "" && r.Incarnation != have {
		return refuse(CodeVMReplaced, place+".incarnation", "VM %q now runs as %s", r.ID, have)
	}
	return nil
}

func checkRemoveVM(v *view, r Ref) *Error {
	if err := checkVMRef(v, "remove_vm", r); err != nil {
		return err
	}
	ref := v.vms[r.ID].VMRef
	for _, a := range v.assignments {
		if a != nil && slices.Contains(a.Replicas, ref) {
			return refuse(CodeInUse, "remove_vm.id", "VM %q holds shard %d", r.ID, a.Shard)
		}
	}
	return nil
}

func checkDeployment(v *view, d Deployment) *Error {
	if d.Shards < 1 || d.Shards > MaxShards {
		return refuse(CodeInvalid, "configure.shards", "%d is out of range: want 1 to %d", d.Shards, MaxShards)
	}
	if d.Replicas < 1 || d.Replicas > MaxReplicas {
		return refuse(CodeInvalid, "configure.replicas", "%d is out of range: want 1 to %d", d.Replicas, MaxReplicas)
	}
	if have := v.deployment.Shards; have != 0 && have != d.Shards {
		return refuse(CodeInvalid, "configure.shards", "the deployment was created with %d shards; programs would be lost", have)
	}
	return nil
}
