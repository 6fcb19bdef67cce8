package target

// HeldProgram is engine memory that one program occupies.
type HeldProgram struct {
	// Program is the value of X-Hemlockvale-Program.
	Program string `json:"program"`
	// Tokens is the length of the prefix that is held.
	Tokens int64 `json:"tokens"`
	// Kept says that a keep order protects the memory.
	Kept bool `json:"kept,omitempty"`
	// Running is the number of the program's unfinished requests.
	Running int `json:"running,omitempty"`
}

// OrderRecord is an order that a target has accepted.
type OrderRecord struct {
	// ID, Kind, Program and Fencing are copied from the order.
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Program string `json:"program,omitempty"`
	Fencing uint64 `json:"fencing"`
	// Status is "running", "done", "dropped" or "failed".
	Status string `json:"status"`
	// Error explains "dropped" and "failed".
	Error string `json:"error,omitempty"`
}

// EngineState is what a target answers to GET /v1/orders. An owner reads it
// back before its first order and to confirm that a release has taken effect.
type EngineState struct {
	// ID and Incarnation identify the run of the target.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// HighestFencing is the highest fencing number that was accepted.
	HighestFencing uint64 `json:"highest_fencing"`
	// Models, Adapters, Version and Role are the current configuration.
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

// AnnounceReply is an entry's answer to an announcement.
type AnnounceReply struct {
	// Watchers are the HTTP addresses of the entries that watch the target; it
	// may announce to any of them directly.
	Watchers []string `json:"watchers"`
}

// CacheReport is the body of POST /v1/targets/{id}/cache-events.
type CacheReport struct {
	// ID is the target; entries take it from the path.
	ID string `json:"id,omitempty"`
	// Incarnation is the run whose cache changed.
	Incarnation string `json:"incarnation"`
	// Events are in the order of their sequence.
	Events []CacheEvent `json:"events"`
}
