// Package target is one entry's view of the targets: leases, load, cache
// contents and the orders that targets are given under fencing numbers.
package target

// Announcement is what a target says about itself; it renews the lease.
type Announcement struct {
	// ID is the target's unique name.
	ID string `json:"id"`
	// Incarnation changes with every restart; engine memory does not survive one.
	Incarnation string `json:"incarnation"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Service is the group that the target belongs to.
	Service string `json:"service"`
	// Address is where the target is reached, as IP:port.
	Address string `json:"address"`
	// DataCentre is where the target runs.
	DataCentre string `json:"data_centre"`
	// Models are loaded on an engine.
	Models []string `json:"models,omitempty"`
	// Role is the engine's current role.
	Role string `json:"role,omitempty"`
	// Fencing is "enforced" or "ignored".
	Fencing string `json:"fencing,omitempty"`
	// Load is the current load.
	Load Load `json:"load"`
	// LeaseMS is how long the announcement holds, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Leaving targets take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `json:"sequence"`
}

// Load is an engine's load report.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxBatch is how many requests run at once.
	MaxBatch int `json:"max_batch"`
	// KVUsed and KVCapacity are the cache's size in tokens.
	KVUsed     int64 `json:"kv_used"`
	KVCapacity int64 `json:"kv_capacity"`
	// TokensPerSecond is the prefill speed.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of an incarnation without gaps; a gap means lost events.
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "removed" or "cleared".
	Kind string `json:"kind"`
	// Program is the program whose prefix it is, as sent in X-Hemlockvale-Program.
	Program string `json:"program,omitempty"`
	// Tokens is the prefix length now held.
	Tokens int64 `json:"tokens,omitempty"`
}

// Order tells a target to change its own state.
type Order struct {
	// ID identifies the order across retries.
	ID string `json:"id"`
	// Fencing orders the owners; engines that enforce it refuse an older number.
	Fencing uint64 `json:"fencing"`
	// Kind is load_model, unload_model, load_adapter, set_version, set_role, keep, release, export or import.
	Kind string `json:"kind"`
	// Program is the subject of keep, release, export and import.
	Program string `json:"program,omitempty"`
	// Model is the subject of the model orders.
	Model string `json:"model,omitempty"`
	// Argument is the adapter, version, role or peer address.
	Argument string `json:"argument,omitempty"`
	// DeadlineMS is how long the target may take, in milliseconds; it then drops the order.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExpiresUnixMS is the wall-clock time after which the target drops the order even
	// when it arrives late, in Unix milliseconds; 0 means that only DeadlineMS applies.
	ExpiresUnixMS int64 `json:"expires_unix_ms,omitempty"`
}
