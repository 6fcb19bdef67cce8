// Package ledger is the state machine that the store group replicates. It records
// how many tokens each program has spent and reserved.
//
// A turn is a request of a program that generates tokens. It reserves the maximum
// number of tokens that it can generate before any of them reaches the caller, and is
// settled with the number that was delivered. A reservation that is never settled
// stays charged in full. The state also includes the directory of kept histories,
// the requests that have ended targets, and the targets that have stated that they leave.
//
// Invariant: the spent and reserved tokens of a program never exceed its budget.
package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/quarantine"
)

// Program identifies a program within its organisation.
type Program struct {
	// Organisation is the owner of the program; programs of different organisations
	// never share a budget.
	Organisation string `json:"o,omitempty"`
	// ID is the id of the program.
	ID string `json:"p"`
}

// Reserve is a change that charges the maximum number of tokens of a turn.
type Reserve struct {
	// Program is the program whose budget is charged.
	Program Program `json:"g"`
	// Request identifies the reservation.
	Request string `json:"r"`
	// Budget is the maximum number of tokens of all turns of the program; Tokens is
	// that of this turn.
	Budget int64 `json:"b"`
	Tokens int64 `json:"t"`
	// RetentionSeconds is how long the program's budget must be remembered after this
	// turn. The ledger keeps it for retentionFactor times as long.
	RetentionSeconds int64 `json:"k,omitempty"`
}

// Settle is a change that replaces a reservation by the number of tokens that were
// used.
type Settle struct {
	// Program and Request identify the reservation.
	Program Program `json:"g"`
	Request string  `json:"r"`
	// Used is the number of tokens that were delivered to the caller.
	Used int64 `json:"u"`
}

// Command is a batch of changes. The reservations are applied first, then the
// settlements, the retirements, the keeps, the quarantine and the leaving targets, each in
// order.
type Command struct {
	// UnixSeconds is the wall clock of the leader; it is only used to expire old
	// programs and turns.
	UnixSeconds int64          `json:"s"`
	Reserves    []Reserve      `json:"v,omitempty"`
	Settles     []Settle       `json:"e,omitempty"`
	Keeps       []history.Keep `json:"h,omitempty"`
	// RetiredStorages are excluded from holding histories.
	RetiredStorages []string `json:"x,omitempty"`
	// Quarantine holds changes of the requests that have ended targets.
	Quarantine []quarantine.Change `json:"q,omitempty"`
	// Leaving are targets that have stated that they leave.
	Leaving []catalog.Incarnation `json:"l,omitempty"`
}

// Result tells which changes of a command took effect, in the order of the command.
type Result struct {
	// Reserved reports for each reservation whether the budget covered it.
	Reserved []bool
	// Kept reports for each keep whether the directory accepted it.
	Kept []bool
}

// account is the token account of one program.
type account struct {
	Spent int64 `json:"s"`
	// Reserved holds the reserved tokens by request.
	Reserved map[string]int64 `json:"o,omitempty"`
	// Expires is the Unix time in seconds after which the program may be removed.
	Expires int64 `json:"x"`
}

func (a *account) charged() int64 {
	total := a.Spent
	for _, tokens := range a.Reserved {
		total += tokens
	}
	return total
}

func (a *account) clone() *account {
	c := *a
	c.Reserved = maps.Clone(a.Reserved)
	return &c
}

// State is the replicated state: the token accounts of the programs. It is not safe
// for concurrent use.
type State struct {
	accounts map[Program]*account
	turns    *history.Directory
	suspects *quarantine.Records
	leaving  LeavingTargets
	// latestSeconds is the highest wall clock time of any command, in Unix seconds.
	latestSeconds int64
	// sweptSeconds is the value of latestSeconds at the last search for expired
	// programs.
	sweptSeconds int64
}

// New returns an empty state.
func New() *State {
	return &State{accounts: make(map[Program]*account), turns: history.NewDirectory(), suspects: quarantine.NewRecords()}
}

// Reserves reports whether a request has reserved tokens that are not settled.
func (s *State) Reserves(p Program, request string) bool {
	a := s.accounts[p]
	if a == nil {
		return false
	}
	_, reserved := a.Reserved[request]
	return reserved
}

// Turns returns the directory of kept histories. The caller must not change it.
func (s *State) Turns() *history.Directory { return s.turns }

// Suspects returns the requests that have ended targets. The caller must not change them.
func (s *State) Suspects() *quarantine.Records { return s.suspects }

// Leaving returns the targets that have stated that they leave. The caller must not change
// the list.
func (s *State) Leaving() []catalog.Incarnation { return s.leaving.List() }

// UnixSeconds returns the highest wall clock time of any command.
func (s *State) UnixSeconds() int64 { return s.latestSeconds }

const (
	// retentionFactor extends the retention of programs, because the clocks of VMs
	// differ.
	retentionFactor = 3
	// minRetentionSeconds is the shortest retention; it also applies to routes that
	// define none.
	minRetentionSeconds = 120
	// sweepSeconds is the minimum time between two searches for expired programs.
	sweepSeconds = 10
)

// Fits reports whether the program's budget covers another turn. A repeated
// reservation always fits.
func (s *State) Fits(r Reserve) bool {
	a := s.accounts[r.Program]
	if a == nil {
		return r.Tokens <= r.Budget
	}
	if _, repeated := a.Reserved[r.Request]; repeated {
		return true
	}
	return a.charged()+r.Tokens <= r.Budget
}

// Charged returns the number of spent and reserved tokens of a program.
func (s *State) Charged(p Program) int64 {
	if a := s.accounts[p]; a != nil {
		return a.charged()
	}
	return 0
}

// Programs returns the number of programs with an account.
func (s *State) Programs() int { return len(s.accounts) }

// Apply executes a committed batch.
func (s *State) Apply(c Command) Result {
	s.latestSeconds = max(s.latestSeconds, c.UnixSeconds)
	result := Result{Reserved: make([]bool, len(c.Reserves)), Kept: make([]bool, len(c.Keeps))}
	for i, r := range c.Reserves {
		result.Reserved[i] = s.reserve(r)
	}
	for _, settlement := range c.Settles {
		s.settle(settlement)
	}
	for _, storage := range c.RetiredStorages {
		s.turns.Retire(s.latestSeconds, storage)
	}
	for i, k := range c.Keeps {
		result.Kept[i] = s.turns.Keep(s.latestSeconds, k)
	}
	for _, change := range c.Quarantine {
		s.suspects.Apply(s.latestSeconds, change)
	}
	for _, i := range c.Leaving {
		s.leaving.Add(i)
	}
	s.sweep()
	return result
}

func (s *State) reserve(r Reserve) bool {
	if !s.Fits(r) {
		return false
	}
	a := s.accounts[r.Program]
	if a == nil {
		a = &account{}
		s.accounts[r.Program] = a
	}
	if a.Reserved == nil {
		a.Reserved = make(map[string]int64, 1)
	}
	if _, repeated := a.Reserved[r.Request]; !repeated {
		a.Reserved[r.Request] = r.Tokens
	}
	retention := max(retentionFactor*r.RetentionSeconds, minRetentionSeconds)
	a.Expires = max(a.Expires, s.latestSeconds+retention)
	return true
}

func (s *State) settle(settlement Settle) {
	a := s.accounts[settlement.Program]
	if a == nil {
		return
	}
	reserved, open := a.Reserved[settlement.Request]
	if !open {
		return
	}
	delete(a.Reserved, settlement.Request)
	a.Spent += min(max(settlement.Used, 0), reserved)
}

func (s *State) sweep() {
	if s.latestSeconds < s.sweptSeconds+sweepSeconds {
		return
	}
	s.sweptSeconds = s.latestSeconds
	for p, a := range s.accounts {
		if a.Expires < s.latestSeconds {
			delete(s.accounts, p)
		}
	}
	s.turns.Expire(s.latestSeconds)
	s.suspects.Expire(s.latestSeconds)
}

// snapshot is the encoded form of a State.
type snapshot struct {
	LatestSeconds int64                 `json:"n"`
	SweptSeconds  int64                 `json:"w"`
	Accounts      []programAccount      `json:"a"`
	Turns         history.Image         `json:"h"`
	Suspects      []quarantine.Suspect  `json:"q,omitempty"`
	Leaving       []catalog.Incarnation `json:"l,omitempty"`
}

// programAccount is the encoded form of one account.
type programAccount struct {
	Program Program  `json:"g"`
	Account *account `json:"a"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) { return s.Capture()() }

// Capture copies the state and returns a function that encodes the copy. The function may run
// while the state changes.
func (s *State) Capture() func() ([]byte, error) {
	captured := snapshot{LatestSeconds: s.latestSeconds, SweptSeconds: s.sweptSeconds, Accounts: make([]programAccount, 0, len(s.accounts))}
	for p, a := range s.accounts {
		captured.Accounts = append(captured.Accounts, programAccount{p, a.clone()})
	}
	captured.Turns, captured.Suspects, captured.Leaving = s.turns.Image(), s.suspects.List(), slices.Clone(s.leaving.List())
	return func() ([]byte, error) { return json.Marshal(captured) }
}

// Restore replaces the state by one that Snapshot encoded.
func (s *State) Restore(data []byte) error {
	var decoded snapshot
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode ledger snapshot: %w", err)
	}
	*s = *New()
	s.latestSeconds, s.sweptSeconds = decoded.LatestSeconds, decoded.SweptSeconds
	for _, item := range decoded.Accounts {
		s.accounts[item.Program] = item.Account
	}
	s.turns, s.suspects = history.FromImage(decoded.Turns), quarantine.FromList(decoded.Suspects)
	s.leaving = NewLeavingTargets(decoded.Leaving)
	return nil
}
