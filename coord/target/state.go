package target

// HeldProgram describes the engine memory that one program occupies.
type HeldProgram struct {
	// Program identifies the program, as sent in X-Hemlockvale-Program.
	Program string `json:"program"`
	// Tokens is the length of the prefix that is held, in tokens.
	Tokens int64 `json:"tokens"`
	// Kept is true if a keep order protects the memory.
	Kept bool `json:"kept,omitempty"`
	// Running is the number of the program's unfinished requests.
	Running int `json:"running,omitempty"`
}

// OrderRecord is the state of an order that a target has accepted.
type OrderRecord struct {
	// ID, Kind, Program and Fencing are copied from the order.
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Program string `json:"program,omitempty"`
	Fencing uint64 `json:"fencing"`
	// Status is "running", "done", "dropped" or "failed".
	Status string `json:"status"`
	// Error is the reason for the status "dropped" or "failed".
	Error string `json:"error,omitempty"`
}

// EngineState is a target's response to GET /v1/orders. An owner reads it before its
// first order to an engine that ignores fencing numbers, and to confirm that a
// release has taken effect.
type EngineState struct {
	// ID and Incarnation identify the target and its current run.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// HighestFencing is the highest fencing number that the target has accepted.
	HighestFencing uint64 `json:"highest_fencing"`
	// Models, Adapters, Version and Role are the target's current configuration.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Held lists the programs that occupy engine memory.
	Held []HeldProgram `json:"held,omitempty"`
	// Orders lists recent orders, oldest first.
	Orders []OrderRecord `json:"orders,omitempty"`
}

// Holds reports whether the program occupies engine memory.
func (s EngineState) Holds(program string) bool {
	for _, h := range s.Held {
		if h.Program == program {
			return true
		}
	}
	return false
}

// AnnounceReply is an entry's response to an announcement.
type AnnounceReply struct {
	// Watchers are the HTTP addresses of the entries that watch the target. The
	// target may announce itself to any of them directly.
	Watchers []string `json:"watchers"`
}

// CacheReport is the body of POST /v1/targets/{id}/cache-events.
type CacheReport struct {
	// ID is the target's ID; entries take it from the path.
	ID string `json:"id,omitempty"`
	// Incarnation is the incarnation whose cache changed.
	Incarnation string `json:"incarnation"`
	// Events are the changes of the cache, ordered by sequence number.
	Events []CacheEvent `json:"events"`
}
