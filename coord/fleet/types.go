// Package fleet is the configuration of a deployment as a replicated state
// machine: organisations, keys, profiles, services, VMs, shard assignments and
// target drains, with the rules that each change must satisfy.
package fleet

// VMRef identifies one run of a VM's process: a restart is another VM, because
// everything that it held in memory is gone.
type VMRef struct {
	// ID is the name from the settings.
	ID string `json:"id"`
	// Incarnation is a UUID that is generated at process start.
	Incarnation string `json:"incarnation"`
}

// VM is one registered process of the system.
type VM struct {
	VMRef
	// Role is "entry" or "control".
	Role string `json:"role"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"data_centre"`
	// Region contains the data centre.
	Region string `json:"region"`
	// RPCAddress is where other VMs reach it, as IP:port.
	RPCAddress string `json:"rpc_address"`
	// HTTPAddress is where callers, targets and operators reach it, as IP:port.
	HTTPAddress string `json:"http_address"`
	// Draining is set while the VM shuts down: no new callers are sent to it.
	Draining bool `json:"draining,omitempty"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Organisation is a customer of the deployment.
type Organisation struct {
	// ID is its unique name.
	ID string `json:"id"`
	// Name is shown to people.
	Name string `json:"name,omitempty"`
	// Profile is its default profile; the limits of this profile bind the whole organisation.
	Profile string `json:"profile"`
	// HomeRegion is the region whose control quorum owns the organisation.
	HomeRegion string `json:"home_region,omitempty"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Key authenticates callers of one organisation.
type Key struct {
	// ID names the key in listings and logs; it is no secret.
	ID string `json:"id"`
	// Organisation is the owner.
	Organisation string `json:"organisation"`
	// Hash is the hex SHA-256 of the secret; the secret itself is never stored.
	Hash string `json:"hash,omitempty"`
	// Withdrawn keys authenticate nobody; they stay listed.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Profile is a named set of limits, priorities, model choice and budgets.
type Profile struct {
	// Name is its unique name.
	Name string `json:"name"`
	// Organisation is the owner.
	Organisation string `json:"organisation"`
	// Limits bound the request rate.
	Limits Limits `json:"limits"`
	// Priority orders programs of equal attained service; lower runs first.
	Priority int `json:"priority,omitempty"`
	// Models are the models that the profile may use; the first is the default.
	Models []string `json:"models,omitempty"`
	// ModelAliases maps names that callers send to models.
	ModelAliases map[string]string `json:"model_aliases,omitempty"`
	// Budget bounds each program.
	Budget Budget `json:"budget"`
	// Policy weighs program latency against fairness between organisations.
	Policy PolicyWeights `json:"policy"`
	// Routes describe the calls of plain services and engines.
	Routes []Route `json:"routes,omitempty"`
	// Resend says how a retry of a non-idempotent request is recognised.
	Resend Resend `json:"resend"`
	// IdleTimeoutMS ends a program that has made no call for this long, in milliseconds.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty"`
	// CallTimeoutMS ends a call that has run for this long, in milliseconds.
	CallTimeoutMS int64 `json:"call_timeout_ms,omitempty"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Limits are a token bucket: a rate and a burst. A zero rate means no limit.
type Limits struct {
	// RatePerSecond is the sustained request rate.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Burst is the number of requests that may come at once.
	Burst float64 `json:"burst,omitempty"`
}

// Budget bounds a program; zero means unlimited.
type Budget struct {
	// MaxCalls is the number of calls.
	MaxCalls int64 `json:"max_calls,omitempty"`
	// MaxTokens is the number of prompt and completion tokens over all calls.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// MaxSeconds is the time from the first call, in seconds.
	MaxSeconds int64 `json:"max_seconds,omitempty"`
}

// PolicyWeights set the goals of placement and priority.
type PolicyWeights struct {
	// Latency weighs program latency.
	Latency float64 `json:"latency"`
	// Fairness weighs the worst-served organisation.
	Fairness float64 `json:"fairness"`
}

// Route describes calls of one service by method and path prefix.
type Route struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Method is an HTTP method; empty matches all.
	Method string `json:"method,omitempty"`
	// PathPrefix matches the path below the service.
	PathPrefix string `json:"path_prefix"`
	// NonIdempotent requests run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
}

// Resend says how a retry is recognised when no idempotency key is sent.
type Resend struct {
	// WindowMS is how long an outcome is kept, in milliseconds.
	WindowMS int64 `json:"window_ms,omitempty"`
	// Identify is "key" (only the Idempotency-Key header) or "body" (also an equal body).
	Identify string `json:"identify,omitempty"`
}

// Service is a group of interchangeable targets.
type Service struct {
	// Name is its unique name.
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Profiles maps organisations to the profile that the service runs under.
	Profiles map[string]string `json:"profiles,omitempty"`
	// OpenRoutes need no key and belong to no organisation.
	OpenRoutes []Route `json:"open_routes,omitempty"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Assignment says which VMs hold a shard.
type Assignment struct {
	// Shard is the shard's number.
	Shard int `json:"shard"`
	// Epoch grows whenever the owner changes; it fences the old owner.
	Epoch uint64 `json:"epoch"`
	// Version grows with every change of the assignment.
	Version uint64 `json:"version"`
	// Owner orders the shard's records.
	Owner VMRef `json:"owner"`
	// Previous is the owner of the epoch before, if it was live when the shard
	// was moved: its lease may still be valid. It is empty if that lease had expired.
	Previous VMRef `json:"previous,omitzero"`
	// InSync hold every committed record; the owner is one of them.
	InSync []VMRef `json:"in_sync"`
	// Replicas are all VMs that hold or copy the shard, the in-sync ones included.
	Replicas []VMRef `json:"replicas"`
}

// Ref names an object to remove, withdraw or drain.
type Ref struct {
	// ID is the object's unique name.
	ID string `json:"id"`
	// Incarnation limits the command to one run of a VM, where given.
	Incarnation string `json:"incarnation,omitempty"`
}

// TargetDrain excludes a target from new work, or admits it again.
type TargetDrain struct {
	// ID is the target's id.
	ID string `json:"id"`
	// Draining excludes the target.
	Draining bool `json:"draining"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Deployment holds what is fixed when a deployment is created.
type Deployment struct {
	// Shards is the number of shards.
	Shards int `json:"shards"`
	// Replicas is the number of copies of each shard, the owner's included.
	Replicas int `json:"replicas"`
	// RecreateLostShards lets the planner replace a shard by an empty one when
	// every VM that held all of its records is dead. The records are then lost
	// for good, so the default is to wait for a VM to come back or for an operator.
	RecreateLostShards bool `json:"recreate_lost_shards,omitempty"`
	// Revision is the revision of the last change.
	Revision uint64 `json:"revision,omitempty"`
}

// Command is one change; exactly one of its pointers is set.
type Command struct {
	// Operation identifies the change across retries.
	Operation string `json:"operation,omitempty"`
	// ExpectedRevision is the revision at which the object was read; 0 means that it must not exist.
	ExpectedRevision *uint64 `json:"expected_revision,omitempty"`

	PutOrganisation    *Organisation `json:"put_organisation,omitempty"`
	RemoveOrganisation *Ref          `json:"remove_organisation,omitempty"`
	PutProfile         *Profile      `json:"put_profile,omitempty"`
	RemoveProfile      *Ref          `json:"remove_profile,omitempty"`
	PutService         *Service      `json:"put_service,omitempty"`
	RemoveService      *Ref          `json:"remove_service,omitempty"`
	IssueKey           *Key          `json:"issue_key,omitempty"`
	WithdrawKey        *Ref          `json:"withdraw_key,omitempty"`
	RegisterVM         *VM           `json:"register_vm,omitempty"`
	RemoveVM           *Ref          `json:"remove_vm,omitempty"`
	DrainVM            *Ref          `json:"drain_vm,omitempty"`
	DrainTarget        *TargetDrain  `json:"drain_target,omitempty"`
	Assign             *Assignment   `json:"assign,omitempty"`
	Configure          *Deployment   `json:"configure,omitempty"`
	// RecreateShard replaces a shard, whose records are lost, by an empty one.
	RecreateShard *Assignment `json:"recreate_shard,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	// Revision is the revision that the command created.
	Revision uint64 `json:"revision"`
	// Error is set when the command was refused; it then changed nothing.
	Error *Error `json:"error,omitempty"`
}

// Error is a refused command.
type Error struct {
	// Code is stable, for programs.
	Code string `json:"code"`
	// Message is for people.
	Message string `json:"message"`
	// Place is the field that is at fault, as a JSON path.
	Place string `json:"place,omitempty"`
}

// Error returns the code, the place and the message.
func (e *Error) Error() string {
	if e.Place == "" {
		return e.Code + ": " + e.Message
	}
	return e.Code + ": " + e.Place + ": " + e.Message
}

// Change is a command with the revision that it created.
type Change struct {
	// Revision is the command's index in control's log.
	Revision uint64 `json:"revision"`
	// Command is the change.
	Command Command `json:"command"`
}
