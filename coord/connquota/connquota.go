// Package connquota bounds the connections that callers have open at one address of a process. It
// does no I/O and has no clock.
//
// An address accepts connections up to its limit. Above three quarters of it, connections are
// scarce: then an owner, which is the IP address of a caller, opens further ones only below a
// quarter of the limit. One owner alone is therefore held to three quarters, and the rest is left
// to others. Callers behind one shared address lose nothing while connections are not scarce.
package connquota

// Reason explains why a connection is refused.
type Reason string

// These are the reasons. Granted is the zero value.
const (
	Granted Reason = ""
	// Exhausted means that the limit of the address is reached.
	Exhausted Reason = "connections"
	// OwnerShare means that the owner has its share while connections are scarce.
	OwnerShare Reason = "caller_connections"
)

const (
	// scarcePercent is the use of the limit above which connections are scarce, and
	// ownerPercent the share of one owner then.
	scarcePercent = 75
	ownerPercent  = 25
)

// Quota counts the connections of one address. It is not safe for concurrent use.
type Quota struct {
	limit, open int
	owners      map[string]int
}

// New returns a Quota for a number of connections, which must be positive.
func New(limit int) *Quota { return &Quota{limit: limit, owners: make(map[string]int)} }

// Open adds a connection of an owner. It returns the reason if the connection is refused.
func (q *Quota) Open(owner string) Reason {
	switch {
	case q.open >= q.limit:
		return Exhausted
	case q.open*100 >= q.limit*scarcePercent && q.owners[owner]*100 >= q.limit*ownerPercent:
		return OwnerShare
	}
	q.open++
	q.owners[owner]++
	return Granted
}

// Close removes a connection that was opened. An owner without connections is forgotten.
func (q *Quota) Close(owner string) {
	q.open--
	if q.owners[owner]--; q.owners[owner] <= 0 {
		delete(q.owners, owner)
	}
}

// Connections returns the number of open connections.
func (q *Quota) Connections() int { return q.open }

// Owners returns the number of owners that have open connections.
func (q *Quota) Owners() int { return len(q.owners) }
