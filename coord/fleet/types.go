// Package fleet implements the configuration of a deployment as a deterministic
// state machine that the control VMs replicate. The configuration consists of
// organisations, keys, profiles, services, VMs, shard assignments and target drains.
// The package validates every change and plans the shard assignments.
package fleet

// VMRef identifies one run of a VM's process. A restarted process counts as a
// different VM, because it has lost everything that it held in memory.
type VMRef struct {
	// ID is the VM's name in its settings.
	ID string `json:"id"`
	// Incarnation is a UUID that is generated at process start.
	Incarnation string `json:"incarnation"`
}

// VM is a registered process of the deployment: an entry or a control VM.
type VM struct {
	VMRef
	// Role is "entry" or "control".
	Role string `json:"role"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"data_centre"`
	// Region is the region of the data centre.
	Region string `json:"region"`
	// RPCAddress is the address for other VMs, in the form IP:port.
	RPCAddress string `json:"rpc_address"`
	// HTTPAddress is the address for callers, targets and operators, in the form IP:port.
	HTTPAddress string `json:"http_address"`
	// Draining is set while the VM shuts down. EntriesFor then leaves it out, and the
	// planner moves its shards to other VMs.
	Draining bool `json:"draining,omitempty"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Organisation is a customer of the deployment.
type Organisation struct {
	// ID is the organisation's unique name.
	ID string `json:"id"`
	// Name is the display name.
	Name string `json:"name,omitempty"`
	// Profile names the default profile. Its limits apply to the whole organisation.
	Profile string `json:"profile"`
	// HomeRegion is the region whose control quorum manages the organisation.
	HomeRegion string `json:"home_region,omitempty"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Key is an API key that authenticates callers of one organisation.
type Key struct {
	// ID names the key in lists and logs; it is not secret.
	ID string `json:"id"`
	// Organisation is the id of the organisation that owns the key.
	Organisation string `json:"organisation"`
	// Hash is the SHA-256 of the secret in hex. The secret itself is never stored.
	Hash string `json:"hash,omitempty"`
	// Withdrawn is set on keys that no longer authenticate anyone. They remain listed.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Profile is a named set of limits, priority, models and budgets of an organisation.
type Profile struct {
	// Name is the profile's unique name.
	Name string `json:"name"`
	// Organisation is the id of the organisation that owns the profile.
	Organisation string `json:"organisation"`
	// Limits bounds the request rate.
	Limits Limits `json:"limits"`
	// Priority orders programs with equal attained service; the lowest value runs first.
	Priority int `json:"priority,omitempty"`
	// Models lists the models that the profile may use; the first is the default.
	Models []string `json:"models,omitempty"`
	// ModelAliases maps model names in requests to models.
	ModelAliases map[string]string `json:"model_aliases,omitempty"`
	// Budget bounds the resource use of each program.
	Budget Budget `json:"budget"`
	// Policy sets the weights of program latency and of fairness between organisations.
	Policy PolicyWeights `json:"policy"`
	// Routes selects calls by service, method and path, and sets whether they are idempotent.
	Routes []Route `json:"routes,omitempty"`
	// Resend configures how a retry of a non-idempotent request is recognised.
	Resend Resend `json:"resend"`
	// IdleTimeoutMS is the time without a call after which a program ends, in milliseconds.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty"`
	// CallTimeoutMS is the time after which a running call is ended, in milliseconds.
	CallTimeoutMS int64 `json:"call_timeout_ms,omitempty"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Limits configures a token bucket of requests. A zero rate means no limit.
type Limits struct {
	// RatePerSecond is the sustained rate, in requests per second.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Burst is the number of requests that may be admitted at once: in any time T, at
	// most RatePerSecond x T + Burst requests are admitted.
	Burst float64 `json:"burst,omitempty"`
}

// Budget bounds the resource use of a program. Zero values mean no limit.
type Budget struct {
	// MaxCalls is the maximum number of calls.
	MaxCalls int64 `json:"max_calls,omitempty"`
	// MaxTokens is the maximum number of prompt and completion tokens over all calls.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// MaxSeconds is the maximum time since the first call, in seconds.
	MaxSeconds int64 `json:"max_seconds,omitempty"`
}

// PolicyWeights holds the weights of the objectives of placement and prioritisation.
type PolicyWeights struct {
	// Latency is the weight of program latency.
	Latency float64 `json:"latency"`
	// Fairness is the weight of the service that the worst-served organisation gets.
	Fairness float64 `json:"fairness"`
}

// Route selects calls to one service by method and path prefix and sets their properties.
type Route struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Method is the HTTP method in upper case. An empty method matches all methods.
	Method string `json:"method,omitempty"`
	// PathPrefix is a prefix of the request path relative to the service. It starts with
	// a slash.
	PathPrefix string `json:"path_prefix"`
	// NonIdempotent is set if a request must run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Open is set if requests need no key.
	Open bool `json:"open,omitempty"`
}

// Resend configures the deduplication of retried non-idempotent requests.
type Resend struct {
	// WindowMS is the time for which the outcome of a request is kept, in milliseconds.
	WindowMS int64 `json:"window_ms,omitempty"`
	// Identify is "key" if only an equal Idempotency-Key header identifies a retry, or
	// "body" if an equal body does as well.
	Identify string `json:"identify,omitempty"`
}

// Service is a group of interchangeable targets.
type Service struct {
	// Name is the service's unique name.
	Name string `json:"name"`
	// Kind is "engine" for inference engines or "service" for other targets.
	Kind string `json:"kind"`
	// Profiles maps organisation ids to the profile that applies to their calls of the
	// service.
	Profiles map[string]string `json:"profiles,omitempty"`
	// OpenRoutes lists the routes that need no key. Their calls belong to no organisation.
	OpenRoutes []Route `json:"open_routes,omitempty"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Assignment lists the VMs that hold a shard.
type Assignment struct {
	// Shard is the shard's number.
	Shard int `json:"shard"`
	// Epoch increases by one whenever the owner changes. It fences the old owner.
	Epoch uint64 `json:"epoch"`
	// Version increases by one with every change of the assignment.
	Version uint64 `json:"version"`
	// Owner is the VM that sequences the shard's records.
	Owner VMRef `json:"owner"`
	// Previous is the owner in the previous epoch if it was live when the owner
	// changed, because its lease may still be valid. It is empty if that lease had
	// expired.
	Previous VMRef `json:"previous,omitzero"`
	// InSync lists the replicas that hold every committed record, including the owner.
	InSync []VMRef `json:"in_sync"`
	// Replicas lists all VMs that hold or are copying the shard, including InSync.
	Replicas []VMRef `json:"replicas"`
}

// ObjectRef identifies an object to remove, withdraw or drain.
type ObjectRef struct {
	// ID is the unique name or id of the object.
	ID string `json:"id"`
	// Incarnation, if set, restricts the command to one run of a VM.
	Incarnation string `json:"incarnation,omitempty"`
}

// TargetDrain excludes a target from new calls, or admits it again.
type TargetDrain struct {
	// ID is the id of the target.
	ID string `json:"id"`
	// Draining is set to exclude the target, and unset to admit it again.
	Draining bool `json:"draining"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Deployment holds the settings of the whole deployment.
type Deployment struct {
	// Shards is the number of shards, 1 to MaxShards. It cannot change after creation.
	Shards int `json:"shards"`
	// Replicas is the number of replicas of each shard, including the owner, 1 to
	// MaxReplicas.
	Replicas int `json:"replicas"`
	// RecreateLostShards allows the planner to replace a shard by an empty one when
	// all of its in-sync VMs are dead. The records are then permanently lost, so by
	// default the shard waits until one of the VMs returns or an operator decides.
	RecreateLostShards bool `json:"recreate_lost_shards,omitempty"`
	// Revision is the revision of the last change to the object.
	Revision uint64 `json:"revision,omitempty"`
}

// Command is a change to one object. Exactly one of the pointers other than
// ExpectedRevision is set.
type Command struct {
	// Operation is an id that identifies the command across retries. It may be empty.
	Operation string `json:"operation,omitempty"`
	// ExpectedRevision, if set, must equal the object's current revision; 0 means that
	// the object must not exist. For assignments it is compared with the version.
	ExpectedRevision *uint64 `json:"expected_revision,omitempty"`

	PutOrganisation    *Organisation `json:"put_organisation,omitempty"`
	RemoveOrganisation *ObjectRef    `json:"remove_organisation,omitempty"`
	PutProfile         *Profile      `json:"put_profile,omitempty"`
	RemoveProfile      *ObjectRef    `json:"remove_profile,omitempty"`
	PutService         *Service      `json:"put_service,omitempty"`
	RemoveService      *ObjectRef    `json:"remove_service,omitempty"`
	IssueKey           *Key          `json:"issue_key,omitempty"`
	WithdrawKey        *ObjectRef    `json:"withdraw_key,omitempty"`
	RegisterVM         *VM           `json:"register_vm,omitempty"`
	RemoveVM           *ObjectRef    `json:"remove_vm,omitempty"`
	DrainVM            *ObjectRef    `json:"drain_vm,omitempty"`
	DrainTarget        *TargetDrain  `json:"drain_target,omitempty"`
	Assign             *Assignment   `json:"assign,omitempty"`
	Configure          *Deployment   `json:"configure,omitempty"`
	// RecreateShard replaces a shard whose records are lost by an empty one.
	RecreateShard *Assignment `json:"recreate_shard,omitempty"`
}

// Result holds the outcome of a command.
type Result struct {
	// Revision is the revision that the command created, or 0 if it was refused.
	Revision uint64 `json:"revision"`
	// Error is set if the command was refused and therefore changed nothing.
	Error *Error `json:"error,omitempty"`
}

// Error states why a command or a lookup was refused.
type Error struct {
	// Code is one of the Code constants. Clients may rely on it.
	Code string `json:"code"`
	// Message is a human-readable explanation.
	Message string `json:"message"`
	// Path is the path of the invalid field in the JSON form of the command.
	Path string `json:"place,omitempty"`
}

// Error returns the code, the path if any, and the message.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.Code + ": " + e.Message
	}
	return e.Code + ": " + e.Path + ": " + e.Message
}

// Change is an accepted command with the revision that it created.
type Change struct {
	// Revision is the command's index in the log of the control VMs.
	Revision uint64 `json:"revision"`
	// Command is the accepted command.
	Command Command `json:"command"`
}
