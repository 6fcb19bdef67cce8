// Package target keeps one entry's state about the targets: their leases, load and
// cache contents. It also schedules the orders that are sent to targets under
// fencing numbers.
package target

// Announcement is a target's periodic report about itself. An accepted announcement
// renews the target's lease.
type Announcement struct {
	// ID is the unique name of the target.
	ID string `json:"id"`
	// Incarnation identifies one run of the target's process. It changes with every
	// restart; engine memory does not survive a restart.
	Incarnation string `json:"incarnation"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Service is the name of the service that the target belongs to.
	Service string `json:"service"`
	// Address is the address at which the target serves HTTP, as IP:port.
	Address string `json:"address"`
	// DataCentre is the name of the data centre that the target runs in.
	DataCentre string `json:"data_centre"`
	// Models lists the models that are loaded on an engine.
	Models []string `json:"models,omitempty"`
	// Role is the engine's current role.
	Role string `json:"role,omitempty"`
	// Fencing is "enforced" or "ignored"; an empty value means "ignored".
	Fencing string `json:"fencing,omitempty"`
	// Load is the target's current load.
	Load Load `json:"load"`
	// LeaseMS is the requested duration of the lease, in milliseconds. MaxLease
	// bounds it.
	LeaseMS int64 `json:"lease_ms"`
	// Leaving is true if the target takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence orders the announcements of one incarnation. It starts at 1.
	Sequence uint64 `json:"sequence"`
}

// Load is the load that an engine reports.
type Load struct {
	// Running and Waiting are the numbers of running and of queued requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxBatch is the maximum number of requests that run at the same time.
	MaxBatch int `json:"max_batch"`
	// KVUsed and KVCapacity are the used and the total size of the KV cache, in
	// tokens.
	KVUsed     int64 `json:"kv_used"`
	KVCapacity int64 `json:"kv_capacity"`
	// TokensPerSecond is the prefill speed, in tokens per second.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of an incarnation without gaps; a gap means that
	// events were lost.
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "removed" or "cleared".
	Kind string `json:"kind"`
	// Program is the program whose prefix changed, as sent in X-Hemlockvale-Program.
	// It is empty if Kind is "cleared".
	Program string `json:"program,omitempty"`
	// Tokens is the length of the prefix that is now held, in tokens.
	Tokens int64 `json:"tokens,omitempty"`
}

// Order is an instruction to a target to change its configuration or its engine
// memory.
type Order struct {
	// ID identifies the order; retries of an order have the same ID.
	ID string `json:"id"`
	// Fencing is the epoch of the owner that sends the order. Engines that enforce
	// fencing refuse an order with a lower number than one they have accepted.
	Fencing uint64 `json:"fencing"`
	// Kind is load_model, unload_model, load_adapter, set_version, set_role, keep, release, export or import.
	Kind string `json:"kind"`
	// Program is the program that a keep, release, export or import order applies
	// to.
	Program string `json:"program,omitempty"`
	// Model is the model that a load_model or unload_model order applies to.
	Model string `json:"model,omitempty"`
	// Argument is the adapter, version, role or peer address, depending on Kind.
	Argument string `json:"argument,omitempty"`
	// DeadlineMS is how long the target may take to carry out the order, in
	// milliseconds. The target drops the order after that time.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExpiresUnixMS is the wall-clock time after which the target drops the order
	// even if it arrives late, in Unix milliseconds; 0 means that only DeadlineMS
	// applies.
	ExpiresUnixMS int64 `json:"expires_unix_ms,omitempty"`
}
