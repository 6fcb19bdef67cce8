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
	// MaxShards bounds Deployment.Shards, because every State holds an assignment for
	// each shard.
	MaxShards = 1 << 16
	// MaxReplicas bounds Deployment.Replicas, because a write waits for all in-sync replicas.
	MaxReplicas = 7
	// maxListLength bounds the number of entries of each list or map in an object.
	maxListLength = 4096
	// maxTextLength bounds the length of free text, in bytes.
	maxTextLength = 256
	// maxRate bounds rates, bursts and policy weights. It is far above the capacity of
	// any deployment, and low enough that sums of tokens in a float64 are exact to a
	// small fraction of a token.
	maxRate = 1e9
	// maxMilliseconds bounds durations, in milliseconds; it is 30 days.
	maxMilliseconds = 30 * 24 * 3600 * 1000
)

// namePattern matches names that are safe in URL paths, file names and logs. It
// excludes the slash, which separates a sub-agent from its parent in a program id
// and a profile from its organisation in the name of a rate-limit bucket.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var errHashFormat = errors.New("want the SHA-256 as 64 lower-case hex digits")

// decodeHash decodes the hex form in Key.Hash.
func decodeHash(text string) (secretHash, error) {
	var h secretHash
	if len(text) != 2*sha256.Size || strings.ToLower(text) != text {
		return h, errHashFormat
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return h, errHashFormat
	}
	return h, nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...*Error) *Error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkName(path, name string) *Error {
	if !namePattern.MatchString(name) {
		return newError(CodeInvalid, path, "%q is not a name: want 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit", name)
	}
	return nil
}

func checkOptionalName(path, name string) *Error {
	if name == "" {
		return nil
	}
	return checkName(path, name)
}

func checkText(path, text string) *Error {
	if len(text) > maxTextLength {
		return newError(CodeInvalid, path, "%d bytes, at most %d", len(text), maxTextLength)
	}
	return nil
}

func checkLength(path string, n int) *Error {
	if n > maxListLength {
		return newError(CodeInvalid, path, "%d entries, at most %d", n, maxListLength)
	}
	return nil
}

func checkNumber(path string, x, limit float64) *Error {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || x > limit {
		return newError(CodeInvalid, path, "%v is out of range: want 0 to %v", x, limit)
	}
	return nil
}

func checkCount(path string, x, limit int64) *Error {
	if x < 0 || x > limit {
		return newError(CodeInvalid, path, "%d is out of range: want 0 to %d", x, limit)
	}
	return nil
}

func checkExists[T any](path, kind, name string, m map[string]*T) *Error {
	if m[name] == nil {
		return newError(CodeNotFound, path, "%s %q does not exist", kind, name)
	}
	return nil
}

func checkOrganisation(v *view, o Organisation) *Error {
	const prefix = "put_organisation."
	err := firstError(
		checkName(prefix+"id", o.ID),
		checkText(prefix+"name", o.Name),
		checkOptionalName(prefix+"home_region", o.HomeRegion),
		checkOptionalName(prefix+"profile", o.Profile),
	)
	if err != nil || o.Profile == "" {
		return err
	}
	return checkOwnedProfile(v, prefix+"profile", o.Profile, o.ID)
}

// checkOwnedProfile returns an error if a profile does not exist or belongs to another
// organisation.
func checkOwnedProfile(v *view, path, profile, organisation string) *Error {
	if err := checkExists(path, "profile", profile, v.profiles); err != nil {
		return err
	}
	if owner := v.profiles[profile].Organisation; owner != organisation {
		return newError(CodeInvalid, path, "profile %q belongs to organisation %q", profile, owner)
	}
	return nil
}

func checkRemoveOrganisation(v *view, id string) *Error {
	const path = "remove_organisation.id"
	if err := checkExists(path, "organisation", id, v.organisations); err != nil {
		return err
	}
	for _, k := range sortedByKey(v.keys) {
		if k.Organisation == id && !k.Withdrawn {
			return newError(CodeInUse, path, "key %q is not withdrawn", k.ID)
		}
	}
	for _, p := range sortedByKey(v.profiles) {
		if p.Organisation == id {
			return newError(CodeInUse, path, "profile %q belongs to the organisation", p.Name)
		}
	}
	return nil
}

func checkProfile(v *view, p Profile) *Error {
	const prefix = "put_profile."
	err := firstError(
		checkName(prefix+"name", p.Name),
		checkName(prefix+"organisation", p.Organisation),
		checkExists(prefix+"organisation", "organisation", p.Organisation, v.organisations),
		checkLimits(prefix+"limits", p.Limits),
		checkCount(prefix+"budget.max_calls", p.Budget.MaxCalls, math.MaxInt64),
		checkCount(prefix+"budget.max_tokens", p.Budget.MaxTokens, math.MaxInt64),
		checkCount(prefix+"budget.max_seconds", p.Budget.MaxSeconds, math.MaxInt64/int64(1e9)),
		checkNumber(prefix+"policy.latency", p.Policy.Latency, maxRate),
		checkNumber(prefix+"policy.fairness", p.Policy.Fairness, maxRate),
		checkCount(prefix+"resend.window_ms", p.Resend.WindowMS, maxMilliseconds),
		checkCount(prefix+"idle_timeout_ms", p.IdleTimeoutMS, maxMilliseconds),
		checkCount(prefix+"call_timeout_ms", p.CallTimeoutMS, maxMilliseconds),
		checkModels(prefix, p),
		checkRoutes(v, prefix+"routes", p.Routes),
	)
	if err != nil {
		return err
	}
	if p.Resend.Identify != "" && p.Resend.Identify != "key" && p.Resend.Identify != "body" {
		return newError(CodeInvalid, prefix+"resend.identify", "%q: want \"key\" or \"body\"", p.Resend.Identify)
	}
	if old := v.profiles[p.Name]; old != nil && old.Organisation != p.Organisation {
		return newError(CodeInvalid, prefix+"organisation", "profile %q belongs to organisation %q and cannot change its owner", p.Name, old.Organisation)
	}
	return nil
}

func checkLimits(path string, l Limits) *Error {
	if err := firstError(checkNumber(path+".rate_per_second", l.RatePerSecond, maxRate), checkNumber(path+".burst", l.Burst, maxRate)); err != nil {
		return err
	}
	if l.RatePerSecond > 0 && l.Burst < 1 {
		return newError(CodeInvalid, path+".burst", "%v is less than one request, so a rate of %v would admit nothing", l.Burst, l.RatePerSecond)
	}
	return nil
}

func checkModels(prefix string, p Profile) *Error {
	if err := firstError(checkLength(prefix+"models", len(p.Models)), checkLength(prefix+"model_aliases", len(p.ModelAliases))); err != nil {
		return err
	}
	for i, m := range p.Models {
		itemPath := prefix + "models[" + strconv.Itoa(i) + "]"
		if m == "" {
			return newError(CodeInvalid, itemPath, "empty model name")
		}
		if err := checkText(itemPath, m); err != nil {
			return err
		}
		if slices.Contains(p.Models[:i], m) {
			return newError(CodeInvalid, itemPath, "model %q is listed twice", m)
		}
	}
	for _, alias := range slices.Sorted(maps.Keys(p.ModelAliases)) {
		itemPath := fmt.Sprintf("%smodel_aliases[%q]", prefix, alias)
		model := p.ModelAliases[alias]
		if len(p.Models) > 0 && !slices.Contains(p.Models, model) {
			return newError(CodeInvalid, itemPath, "model %q is not one of the profile's models", model)
		}
		if err := firstError(checkText(itemPath, alias), checkText(itemPath, model)); err != nil {
			return err
		}
	}
	return nil
}

func checkRoutes(v *view, path string, routes []Route) *Error {
	if err := checkLength(path, len(routes)); err != nil {
		return err
	}
	for i, r := range routes {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		if r.Open {
			return newError(CodeInvalid, itemPath+".open", "a profile cannot open a route: list it in the service's open_routes")
		}
		if err := firstError(checkExists(itemPath+".service", "service", r.Service, v.services), checkRoute(itemPath, r)); err != nil {
			return err
		}
	}
	return nil
}

func checkRoute(path string, r Route) *Error {
	if r.Method != strings.ToUpper(r.Method) || strings.ContainsAny(r.Method, " \t\r\n") {
		return newError(CodeInvalid, path+".method", "%q is not an HTTP method", r.Method)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return newError(CodeInvalid, path+".path_prefix", "%q does not start with a slash", r.PathPrefix)
	}
	return firstError(checkText(path+".method", r.Method), checkText(path+".path_prefix", r.PathPrefix))
}

func checkRemoveProfile(v *view, name string) *Error {
	const path = "remove_profile.id"
	if err := checkExists(path, "profile", name, v.profiles); err != nil {
		return err
	}
	for _, o := range sortedByKey(v.organisations) {
		if o.Profile == name {
			return newError(CodeInUse, path, "it is the default profile of organisation %q", o.ID)
		}
	}
	for _, s := range sortedByKey(v.services) {
		for _, organisation := range slices.Sorted(maps.Keys(s.Profiles)) {
			if s.Profiles[organisation] == name {
				return newError(CodeInUse, path, "service %q selects it for organisation %q", s.Name, organisation)
			}
		}
	}
	return nil
}

func checkService(v *view, s Service) *Error {
	const prefix = "put_service."
	err := firstError(
		checkName(prefix+"name", s.Name),
		checkLength(prefix+"profiles", len(s.Profiles)),
		checkLength(prefix+"open_routes", len(s.OpenRoutes)),
	)
	if err != nil {
		return err
	}
	if s.Kind != "engine" && s.Kind != "service" {
		return newError(CodeInvalid, prefix+"kind", "%q: want \"engine\" or \"service\"", s.Kind)
	}
	for _, organisation := range slices.Sorted(maps.Keys(s.Profiles)) {
		itemPath := fmt.Sprintf("%sprofiles[%q]", prefix, organisation)
		if err := firstError(checkExists(itemPath, "organisation", organisation, v.organisations), checkOwnedProfile(v, itemPath, s.Profiles[organisation], organisation)); err != nil {
			return err
		}
	}
	for i, r := range s.OpenRoutes {
		itemPath := prefix + "open_routes[" + strconv.Itoa(i) + "]"
		if r.Service != "" && r.Service != s.Name {
			return newError(CodeInvalid, itemPath+".service", "route of service %q", r.Service)
		}
		if err := checkRoute(itemPath, r); err != nil {
			return err
		}
	}
	return nil
}

func checkRemoveService(v *view, name string) *Error {
	const path = "remove_service.id"
	if err := checkExists(path, "service", name, v.services); err != nil {
		return err
	}
	for _, p := range sortedByKey(v.profiles) {
		for _, r := range p.Routes {
			if r.Service == name {
				return newError(CodeInUse, path, "a route of profile %q refers to it", p.Name)
			}
		}
	}
	return nil
}

func checkIssueKey(v *view, k Key) *Error {
	const prefix = "issue_key."
	err := firstError(
		checkName(prefix+"id", k.ID),
		checkName(prefix+"organisation", k.Organisation),
		checkExists(prefix+"organisation", "organisation", k.Organisation, v.organisations),
	)
	if err != nil {
		return err
	}
	hash, decodeErr := decodeHash(k.Hash)
	if decodeErr != nil {
		return newError(CodeInvalid, prefix+"hash", "%v", decodeErr)
	}
	if k.Withdrawn {
		return newError(CodeInvalid, prefix+"withdrawn", "a key is issued valid")
	}
	// Ids and secrets are never reused, so that a withdrawn key cannot become valid again.
	if old := v.keys[k.ID]; old != nil {
		return newError(CodeExists, prefix+"id", "key %q was issued already", k.ID)
	}
	if old := v.keysByHash[hash]; old != nil {
		return newError(CodeExists, prefix+"hash", "key %q has the same secret", old.ID)
	}
	return nil
}

func checkVM(v *view, m VM) *Error {
	const prefix = "register_vm."
	err := firstError(
		checkName(prefix+"id", m.ID),
		checkName(prefix+"incarnation", m.Incarnation),
		checkName(prefix+"data_centre", m.DataCentre),
		checkOptionalName(prefix+"region", m.Region),
		checkAddress(prefix+"rpc_address", m.RPCAddress),
		checkAddress(prefix+"http_address", m.HTTPAddress),
	)
	if err != nil {
		return err
	}
	if m.Role != RoleEntry && m.Role != RoleControl {
		return newError(CodeInvalid, prefix+"role", "%q: want \"entry\" or \"control\"", m.Role)
	}
	if slices.Contains(v.replaced, m.VMRef) {
		return newError(CodeVMReplaced, prefix+"incarnation", "a later process registered as VM %q", m.ID)
	}
	return nil
}

func checkAddress(path, address string) *Error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return newError(CodeInvalid, path, "%q is not IP:port", address)
	}
	return nil
}

// checkVMRef returns an error if a VM does not exist or runs as a different incarnation
// than the one given.
func checkVMRef(v *view, path string, r ObjectRef) *Error {
	if err := checkExists(path+".id", "VM", r.ID, v.vms); err != nil {
		return err
	}
	if have := v.vms[r.ID].Incarnation; r.Incarnation != "" && r.Incarnation != have {
		return newError(CodeVMReplaced, path+".incarnation", "VM %q now runs as %s", r.ID, have)
	}
	return nil
}

func checkRemoveVM(v *view, r ObjectRef) *Error {
	if err := checkVMRef(v, "remove_vm", r); err != nil {
		return err
	}
	ref := v.vms[r.ID].VMRef
	for _, a := range v.assignments {
		if a != nil && slices.Contains(a.Replicas, ref) {
			return newError(CodeInUse, "remove_vm.id", "VM %q holds shard %d", r.ID, a.Shard)
		}
	}
	return nil
}

func checkDeployment(v *view, d Deployment) *Error {
	if d.Shards < 1 || d.Shards > MaxShards {
		return newError(CodeInvalid, "configure.shards", "%d is out of range: want 1 to %d", d.Shards, MaxShards)
	}
	if d.Replicas < 1 || d.Replicas > MaxReplicas {
		return newError(CodeInvalid, "configure.replicas", "%d is out of range: want 1 to %d", d.Replicas, MaxReplicas)
	}
	if have := v.deployment.Shards; have != 0 && have != d.Shards {
		return newError(CodeInvalid, "configure.shards", "the deployment was created with %d shards; programs would be lost", have)
	}
	return nil
}
