package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

const (
	startUnixMS = 1_700_000_000_000
	runTime     = 50 * time.Millisecond
	// returnTime is how long a target that ended is away.
	returnTime = 1500 * time.Millisecond
)

// model is a service with a detector that sees its catalog, and the records that the
// detector's crashes lead to.
type model struct {
	now      time.Duration
	detector *Detector
	records  *Records
	targets  []Target
}

func newModel(targets int) *model {
	m := &model{now: time.Second, records: NewRecords()}
	for n := range targets {
		m.targets = append(m.targets, Target{Incarnation: catalog.Incarnation{Target: fmt.Sprint("t", n), StartedUnixMS: startUnixMS - 1}, Address: fmt.Sprint("address ", n)})
	}
	m.changeLeader()
	return m
}

// changeLeader replaces the detector, but not the replicated records.
func (m *model) changeLeader() {
	m.detector = NewDetector(m.now, m.unixMS())
	m.apply(m.detector.SetTargets(m.now, m.targets))
}

func (m *model) unixMS() int64 { return startUnixMS + m.now.Milliseconds() }

func (m *model) apply(crashes []Crash) {
	for _, c := range crashes {
		m.records.Apply(m.unixMS()/1000, Change{Crash: &c})
	}
}

// lose reports that the response of target n to a content was lost.
func (m *model) lose(content Content, n int, reporter string) *Check {
	m.now += runTime
	crashes, check := m.detector.Lost(m.now, m.loss(content, n, reporter))
	m.apply(crashes)
	return check
}

func (m *model) loss(content Content, n int, reporter string) Loss {
	t := m.targets[n]
	return Loss{Content: content, Incarnation: t.Incarnation, Address: t.Address, Reporter: reporter, Ran: runTime, Kind: Disconnected}
}

// restart replaces target n by a later incarnation at its address.
func (m *model) restart(n int, id string) {
	m.now += returnTime
	m.targets[n] = Target{Incarnation: catalog.Incarnation{Target: id, StartedUnixMS: m.unixMS()}, Address: m.targets[n].Address}
	m.apply(m.detector.SetTargets(m.now, m.targets))
}

// complete reports that target n completed a content.
func (m *model) complete(content Content, n int, grantedAt time.Duration) {
	alive, unixMS := m.detector.Completed(m.targets[n].Target, grantedAt)
	if m.records.Blames(alive, unixMS) {
		m.records.Apply(m.unixMS()/1000, Change{Alive: &alive})
	}
	if m.records.Suspects(content) {
		m.records.Apply(m.unixMS()/1000, Change{Completed: &content})
	}
}

// sendUntilHeldBack sends a content to one target after the other, each of which ends, until
// the content is held back. It returns the number of targets that ended.
func (m *model) sendUntilHeldBack(content Content, after func(n int)) int {
	for n := range m.targets {
		if m.records.HeldBack(content) {
			return n
		}
		if check := m.lose(content, n, fmt.Sprint("entry ", n%2)); check != nil {
			m.apply(m.detector.Checked(m.now, *check, NotListening))
		}
		after(n)
	}
	return len(m.targets)
}

// TestCrashingRequestIsHeldBack guards against a request that ends more than Threshold
// targets because nothing else runs there, the leader changes, or the end is seen late.
func TestCrashingRequestIsHeldBack(t *testing.T) {
	content := Content{"o", 7}
	other := Content{"o", 8}
	for _, scenario := range []struct {
		name  string
		after func(m *model, n int)
	}{
		{"nobody else calls the target", func(*model, int) {}},
		{"leader changes after each crash", func(m *model, _ int) { m.changeLeader() }},
		{"target returns under another id", func(m *model, n int) { m.restart(n, fmt.Sprint("new ", n)) }},
		{"an earlier response of the target is reported late", func(m *model, n int) { m.complete(other, n, m.now-2*runTime) }},
		{"its response was lost at a target that it ended only later", func(m *model, n int) {
			next := (n + 1) % len(m.targets)
			check := m.lose(content, next, "entry 1")
			m.apply(m.detector.Checked(m.now, *check, Connected))
			m.now += runTime
			m.complete(other, next, m.now)
			m.now += time.Second
		}},
		{"the request completes now and then", func(m *model, n int) {
			m.restart(n, fmt.Sprint("new ", n))
			m.now += runTime
			m.complete(content, (n+1)%12, m.now)
			m.now += runTime
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			m := newModel(12)
			assert.Equal(t, Threshold, m.sendUntilHeldBack(content, func(n int) { scenario.after(m, n) }))
			assert.False(t, m.records.HeldBack(other))
			m.records.Expire(m.unixMS()/1000 + RetentionSeconds + 1)
			assert.False(t, m.records.HeldBack(content))
		})
	}
}

// TestRunsAtTheSameTime guards against a request that ends one target after the other without
// being recognised because its caller sends it again before the earlier run has ended, and
// against blaming a request for targets that fail together.
func TestRunsAtTheSameTime(t *testing.T) {
	const interval = time.Second
	for _, scenario := range []struct {
		name     string
		kind     LossKind
		spacing  time.Duration
		heldBack bool
	}{
		{"connections fail one after the other", Disconnected, interval, true},
		{"connections fail together", Disconnected, 0, false},
		{"targets have been silent for an unknown time", Silence, interval, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			m := newModel(2 * Threshold)
			content := Content{"o", 7}
			for n := range Threshold {
				m.now += scenario.spacing
				l := m.loss(content, n, "entry 1")
				l.Ran, l.Kind = 10*interval, scenario.kind
				crashes, check := m.detector.Lost(m.now, l)
				require.Empty(t, crashes)
				m.apply(m.detector.Checked(m.now, *check, NotListening))
			}
			assert.True(t, m.records.Suspects(content))
			assert.Equal(t, scenario.heldBack, m.records.HeldBack(content))
		})
	}
}

// TestEndedTargetsAreRecognised guards against crashes that go unnoticed because one kind of
// evidence is missing.
func TestEndedTargetsAreRecognised(t *testing.T) {
	content := Content{"o", 7}
	for _, scenario := range []struct {
		name string
		end  func(m *model, check *Check)
	}{
		{"refused connection", func(m *model, check *Check) { m.apply(m.detector.Checked(m.now, *check, NotListening)) }},
		{"another entry finds it unreachable late", func(m *model, check *Check) {
			m.apply(m.detector.Checked(m.now, *check, Connected))
			m.now += 2500 * time.Millisecond
			check = m.detector.Unreachable(m.now, "t0", "entry 2")
			require.NotNil(t, check)
			m.apply(m.detector.Checked(m.now, *check, NotListening))
		}},
		{"another id at its address", func(m *model, _ *Check) { m.restart(0, "new") }},
		{"the same id started later, and requests completed there before that was known", func(m *model, _ *Check) {
			m.now += returnTime
			m.complete(Content{"o", 8}, 0, m.now)
			m.restart(0, "t0")
		}},
		{"no response for seconds", func(m *model, check *Check) {
			m.apply(m.detector.Checked(m.now, *check, NoResponse))
			for range 3 {
				m.now += silentTime / 2
				for _, c := range m.detector.Due(m.now) {
					m.apply(m.detector.Checked(m.now, c, NoResponse))
				}
			}
		}},
		{"a new leader hears of it after the target's return", func(m *model, _ *Check) {
			loss := m.loss(content, 0, "entry 1")
			m.now += returnTime
			loss.Age = returnTime
			m.targets[0] = Target{Incarnation: catalog.Incarnation{Target: "new", StartedUnixMS: m.unixMS()}, Address: m.targets[0].Address}
			m.changeLeader()
			crashes, _ := m.detector.Lost(m.now, loss)
			m.apply(crashes)
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			m := newModel(2)
			check := m.lose(content, 0, "entry 1")
			require.NotNil(t, check)
			require.False(t, m.records.Suspects(content), "a lost response alone is not a crash")
			scenario.end(m, check)
			assert.True(t, m.records.Suspects(content))
		})
	}
}

// TestCheckThatIsDueLaterIsMade guards against a crash that goes unnoticed because its target
// has just been checked, or because too many checks are in progress.
func TestCheckThatIsDueLaterIsMade(t *testing.T) {
	m := newModel(2)
	content := Content{"o", 7}
	check := m.lose(Content{"o", 8}, 0, "entry 1")
	m.apply(m.detector.Checked(m.now, *check, Connected))
	require.Nil(t, m.lose(content, 0, "entry 1"), "the target has just been checked")
	require.Empty(t, m.detector.Due(m.now))
	var due []Check
	for range 3 {
		if len(due) > 0 {
			m.detector.Postpone(due[0])
		}
		m.now += minCheckInterval
		due = m.detector.Due(m.now)
		require.Len(t, due, 1)
	}
	m.apply(m.detector.Checked(m.now, due[0], NotListening))
	assert.True(t, m.records.Suspects(content))
	m.now += minCheckInterval
	assert.Empty(t, m.detector.Due(m.now))
}

// TestSoundRequestsAreNotHeldBack guards against requests that are held back although they
// ended no target: an entry has lost its links, targets leave or fail for other reasons.
func TestSoundRequestsAreNotHeldBack(t *testing.T) {
	content := Content{"o", 7}
	for _, scenario := range []struct {
		name string
		run  func(m *model)
	}{
		{"an entry that lost its links", func(m *model) {
			for n := range m.targets {
				check := m.lose(content, n, "entry 1")
				assert.Nil(t, m.detector.Unreachable(m.now, m.targets[n].Target, "entry 1"))
				m.apply(m.detector.Checked(m.now, *check, Connected))
			}
		}},
		{"entries that lost their links together", func(m *model) {
			for n := range m.targets {
				check := m.lose(content, n, "entry 1")
				assert.Nil(t, m.detector.Unreachable(m.now, m.targets[n].Target, "entry 2"), "the target is being checked")
				m.apply(m.detector.Checked(m.now, *check, Connected))
				m.now += time.Second
				check = m.detector.Unreachable(m.now, m.targets[n].Target, "entry 2")
				require.NotNil(t, check)
				m.apply(m.detector.Checked(m.now, *check, Connected))
			}
			assert.False(t, m.records.Suspects(content))
		}},
		{"an entry and the leader that lost their links for a while", func(m *model) {
			for n := range m.targets {
				check := m.lose(content, n, "entry 1")
				m.apply(m.detector.Checked(m.now, *check, NotListening))
			}
			require.True(t, m.records.HeldBack(content))
			for n := range m.targets {
				m.now += runTime
				m.complete(Content{"p", 1}, n, m.now)
			}
		}},
		{"targets that are silent for a second", func(m *model) {
			for n := range m.targets {
				check := m.lose(content, n, "entry 1")
				m.apply(m.detector.Checked(m.now, *check, NoResponse))
				m.now += time.Second
				m.complete(Content{"p", 1}, n, m.now)
			}
		}},
		{"targets that leave", func(m *model) {
			for n := range m.targets {
				m.lose(content, n, "entry 1")
			}
			m.targets = nil
			m.apply(m.detector.SetTargets(m.now, nil))
		}},
		{"targets that say that they leave", func(m *model) {
			for n := range m.targets {
				m.targets[n].Leaving = true
			}
			m.apply(m.detector.SetTargets(m.now, m.targets))
			for n := range m.targets {
				assert.Nil(t, m.lose(content, n, "entry 1"))
				m.restart(n, fmt.Sprint("new ", n))
			}
		}},
		{"all targets fail at once beneath a frequent request", func(m *model) {
			for n := range m.targets {
				crashes, check := m.detector.Lost(m.now, m.loss(content, n, "entry 1"))
				m.apply(crashes)
				m.apply(m.detector.Checked(m.now, *check, NotListening))
			}
		}},
		{"targets that fail long after the loss", func(m *model) {
			for n := range m.targets {
				m.lose(content, n, "entry 1")
				m.now += LossRetention
				m.restart(n, fmt.Sprint("new ", n))
			}
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			m := newModel(2 * Threshold)
			scenario.run(m)
			assert.False(t, m.records.HeldBack(content))
		})
	}
}

// TestFrequentRequestIsSound guards against a request that is held back for good because
// targets ended beneath it three times among many complete runs.
func TestFrequentRequestIsSound(t *testing.T) {
	content := Content{"o", 7}
	m := newModel(12)
	for n := range m.targets {
		for range 2 * maxCompletionsPerCrash {
			m.complete(content, (n+1)%12, m.now)
		}
		check := m.lose(content, n, "entry 1")
		m.apply(m.detector.Checked(m.now, *check, NotListening))
		assert.False(t, m.records.HeldBack(content))
		m.restart(n, fmt.Sprint("new ", n))
	}
}

// TestOrganisationsShareTheMemory guards against an organisation that makes the system
// forget the requests of others, and against memory without bounds.
func TestOrganisationsShareTheMemory(t *testing.T) {
	r := NewRecords()
	crash := func(organisation string, fingerprint uint64, n int) {
		at := int64(1000 * n)
		r.Apply(int64(n), Change{Crash: &Crash{Content: Content{organisation, fingerprint}, Incarnation: catalog.Incarnation{Target: fmt.Sprint(n), StartedUnixMS: 1}, FromUnixMS: at, ToUnixMS: at + 1}})
	}
	for n := range Threshold {
		crash("quiet", 1, n)
		crash("loud", 0, n)
	}
	for n := range maxSuspects + maxPerOrganisation {
		crash("loud", uint64(1+n), 10+n)
		crash(fmt.Sprint("organisation ", n), 1, 10+n)
	}
	assert.True(t, r.HeldBack(Content{"quiet", 1}))
	assert.True(t, r.HeldBack(Content{"loud", 0}), "what is held back is forgotten last")
	assert.LessOrEqual(t, r.perOrganisation["loud"], maxPerOrganisation)
	assert.LessOrEqual(t, len(r.suspects), maxSuspects)
	copied := FromList(r.List())
	assert.Equal(t, r.List(), copied.List())
	content := Content{"quiet", 1}
	copied.Apply(0, Change{Clear: &content})
	assert.False(t, copied.Suspects(content))
	assert.Zero(t, copied.perOrganisation["quiet"])

	m := newModel(2)
	for n := range 2 * maxLosses {
		m.lose(Content{fmt.Sprint(n % 16), uint64(n)}, 0, "entry 1")
		m.now -= runTime
	}
	assert.LessOrEqual(t, len(m.detector.losses.order), maxLosses)
	m.detector.Sweep(m.now + time.Minute)
	assert.Empty(t, m.detector.losses.order)
	assert.Empty(t, m.detector.losses.perOrganisation)
}

// TestFailuresOfManyTargetsDoNotHideACrash guards against a request that goes on ending targets
// because many others of its organisation ran at targets that failed meanwhile.
func TestFailuresOfManyTargetsDoNotHideACrash(t *testing.T) {
	const requestsAtFailedTargets = 180
	r := NewRecords()
	content := Content{"o", 1}
	at := int64(0)
	crash := func(c Content, target string) {
		r.Apply(at, Change{Crash: &Crash{Content: c, Incarnation: catalog.Incarnation{Target: target, StartedUnixMS: 1}, FromUnixMS: 1000 * at, ToUnixMS: 1000*at + 1}})
	}
	for n := range Threshold {
		at++
		crash(content, fmt.Sprint("t", n))
		at++
		for k := range requestsAtFailedTargets {
			crash(Content{"o", uint64(1000*n + k + 2)}, fmt.Sprint("failed ", n))
		}
	}
	assert.True(t, r.HeldBack(content))
}

// TestRecordsKnowWhomTheyBlame guards against a crash that is not revoked although its target
// turns out to be alive, or is looked for although there is none.
func TestRecordsKnowWhomTheyBlame(t *testing.T) {
	r := NewRecords()
	incarnation := func(n int) catalog.Incarnation {
		return catalog.Incarnation{Target: fmt.Sprint("t", n), StartedUnixMS: 1}
	}
	for n := range 2 * maxCrashes {
		at := int64(n)
		for fingerprint := range uint64(2) {
			r.Apply(at, Change{Crash: &Crash{Content: Content{"o", fingerprint}, Incarnation: incarnation(n), FromUnixMS: 1000 * at, ToUnixMS: 1000*at + 1}})
		}
	}
	r = FromList(r.List())
	const later = 1 << 60
	last := incarnation(2*maxCrashes - 1)
	assert.True(t, r.Blames(last, later))
	assert.False(t, r.Blames(last, 0), "it has ended since")
	assert.False(t, r.Blames(incarnation(0), later), "the oldest crashes are forgotten")
	first := Content{"o", 0}
	r.Apply(0, Change{Clear: &first})
	assert.True(t, r.Blames(last, later), "another request is blamed for the same target")
	r.Apply(0, Change{Alive: &last})
	assert.False(t, r.Blames(last, later))
	r.Expire(RetentionSeconds + 2*maxCrashes)
	assert.Empty(t, r.blamed)
}

// TestLossesOfOthersDoNotHideACrash guards against a request that goes on ending targets
// because its organisation has lost many other responses just before.
func TestLossesOfOthersDoNotHideACrash(t *testing.T) {
	m := newModel(2 * Threshold)
	last := len(m.targets) - 1
	for n := range uint64(2 * maxLossesPerOrganisation) {
		m.lose(Content{"o", 100 + n}, last, "entry 1")
		m.now -= runTime
	}
	assert.Equal(t, Threshold, m.sendUntilHeldBack(Content{"o", 7}, func(int) {}))
	assert.LessOrEqual(t, m.detector.losses.perOrganisation["o"], maxLossesPerOrganisation)
}
