package placement

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// batchSize is the batch size of all test candidates.
const batchSize = 16

// TestMain sets the seed and the number of the property checks from the
// environment variables SEED and STEPS.
func TestMain(m *testing.M) {
	for variable, name := range map[string]string{"SEED": "rapid.seed", "STEPS": "rapid.checks"} {
		if value := os.Getenv(variable); value != "" {
			if err := flag.Set(name, value); err != nil {
				panic(fmt.Errorf("%s: %w", variable, err))
			}
		}
	}
	os.Exit(m.Run())
}

// target returns a healthy candidate with a current report, modified by change.
func target(id string, change func(*Candidate)) Candidate {
	c := Candidate{
		ID: id, Running: 8, MaxBatch: batchSize, KVUsed: 100_000, KVCapacity: 200_000, TokensPerSecond: 7000,
		CacheAge: time.Second, ReportAge: 100 * time.Millisecond,
	}
	change(&c)
	return c
}

// unchanged leaves the candidate as it is.
func unchanged(*Candidate) {}

// overloaded fills the candidate's queue beyond all limits.
func overloaded(c *Candidate) {
	c.Running, c.Waiting = batchSize, 100*batchSize
}

// TestPlaceChoosesTarget checks one rule for choosing between two targets per case.
func TestPlaceChoosesTarget(t *testing.T) {
	started := Request{PromptTokens: 10_000, AttainedTokens: 9_000, SinceLastCall: 5 * time.Second}
	recorded := started
	recorded.LastTarget, recorded.LastTargetTokens, recorded.SinceLastCall = "b", 9_000, 500*time.Millisecond
	evicted := recorded
	evicted.SinceLastCall = 2 * time.Second
	cases := []struct {
		name    string
		request Request
		a, b    Candidate
		want    Decision
	}{
		{"the less loaded target if none has the prefix", started, target("a", func(c *Candidate) { c.Running = 15 }), target("b", unchanged),
			Decision{Target: "b", Reason: ReasonLoad}},
		{"cached prefix outweighs moderate load", started, target("a", unchanged),
			target("b", func(c *Candidate) { c.Running, c.CachedTokens = 14, 9_000 }),
			Decision{Target: "b", Reason: ReasonCached, CachedTokens: 9_000}},
		{"cached prefix on an overloaded target is not used", started, target("a", unchanged),
			target("b", func(c *Candidate) { c.Running, c.Waiting, c.CachedTokens = 16, 20*batchSize, 9_000 }),
			Decision{Target: "a", Reason: ReasonLoad}},
		{"stale report of an idle target has less weight than a current one", started,
			target("a", func(c *Candidate) { c.Running, c.ReportAge, c.Outstanding = 0, time.Minute, 4 }),
			target("b", unchanged), Decision{Target: "b", Reason: ReasonLoad}},
		{"outstanding dispatches count before the report shows them", started,
			target("a", func(c *Candidate) { c.Running, c.Outstanding = 6, 9 }), target("b", unchanged),
			Decision{Target: "b", Reason: ReasonLoad}},
		{"suspect target is avoided in spite of its cache", started, target("a", unchanged),
			target("b", func(c *Candidate) { c.Suspect, c.CachedTokens = true, 9_000 }),
			Decision{Target: "a", Reason: ReasonLoad}},
		{"the less loaded target if both are suspect", started, target("a", func(c *Candidate) { c.Suspect, c.Running = true, 15 }),
			target("b", func(c *Candidate) { c.Suspect = true }), Decision{Target: "b", Reason: ReasonSuspect}},
		{"the suspect target if the healthy one is full", started, target("a", overloaded),
			target("b", func(c *Candidate) { c.Suspect = true }), Decision{Target: "b", Reason: ReasonSuspect}},
		{"memory overflow evicts others' prefixes", started,
			target("a", func(c *Candidate) { c.Running, c.KVUsed = 6, 199_000 }), target("b", unchanged),
			Decision{Target: "b", Reason: ReasonLoad}},
		{"slow target costs more", started, target("a", func(c *Candidate) { c.TokensPerSecond = 1500 }), target("b", unchanged),
			Decision{Target: "b", Reason: ReasonLoad}},
		{"the last target is used before its cache events arrive", recorded,
			target("a", func(c *Candidate) { c.Running = 4 }), target("b", unchanged),
			Decision{Target: "b", Reason: ReasonCached, CachedTokens: 9_000}},
		{"newer cache events show that the prefix was evicted", evicted,
			target("a", func(c *Candidate) { c.Running = 4 }), target("b", unchanged),
			Decision{Target: "a", Reason: ReasonLoad}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Place(DefaultPolicy(), c.request, []Candidate{c.a, c.b}, 1)
			c.want.Candidates, c.want.Priority = 2, d.Priority
			assert.Equal(t, c.want, d)
		})
	}
}

// TestPlaceRefusesEarly guards against queueing requests that no target can serve in
// time, and against refusals that lose the work of started programs.
func TestPlaceRefusesEarly(t *testing.T) {
	p := DefaultPolicy()
	betweenLimits := func(c *Candidate) {
		c.Running, c.Waiting = batchSize, int((p.MaxQueue+p.MaxQueueStarted)/2)*batchSize
	}
	cases := []struct {
		name    string
		request Request
		targets []Candidate
		action  Action
		reason  string
	}{
		{"no target", Request{}, nil, Refuse, ReasonNoTarget},
		{"all full", Request{}, []Candidate{target("a", overloaded), target("b", overloaded)}, Refuse, ReasonOverloaded},
		{"all full for a started program", Request{AttainedTokens: 1}, []Candidate{target("a", overloaded)}, Refuse, ReasonOverloaded},
		{"full for new programs only", Request{}, []Candidate{target("a", betweenLimits)}, Refuse, ReasonOverloaded},
		{"started program continues", Request{AttainedTokens: 1}, []Candidate{target("a", betweenLimits)}, Dispatch, ReasonLoad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Place(p, c.request, c.targets, 1)
			require.Equal(t, c.action, d.Action)
			assert.Equal(t, c.reason, d.Reason)
			if d.Action == Refuse {
				assert.Positive(t, d.RetryAfter)
				assert.Empty(t, d.Target)
			}
		})
	}
}

// TestPriorityOrder checks the order of two waiting requests per case.
func TestPriorityOrder(t *testing.T) {
	latency, fairness := Weights{Latency: 1, Fairness: 0.25}, Weights{Latency: 0.25, Fairness: 1}
	cases := []struct {
		name          string
		first, second Request
	}{
		{"less attained service", Request{Weights: latency, AttainedTokens: 1000}, Request{Weights: latency, AttainedTokens: 50_000}},
		{"smaller share with the same service", Request{Weights: latency, OrganisationShare: 0.04}, Request{Weights: latency, OrganisationShare: 0.3}},
		{"fairness: old program of a small organisation before a new one of a large one",
			Request{Weights: fairness, AttainedTokens: 20_000, OrganisationShare: 0.04}, Request{Weights: fairness, OrganisationShare: 0.35}},
		{"latency: new program of a large organisation before an old one of a small one",
			Request{Weights: latency, OrganisationShare: 0.35}, Request{Weights: latency, AttainedTokens: 20_000, OrganisationShare: 0.04}},
		{"flood: old program within its rate before new ones above it",
			Request{Weights: latency, AttainedTokens: 20_000, OrganisationShare: 0.04, OrganisationEntitlement: 0.05},
			Request{Weights: latency, OrganisationShare: 0.6, OrganisationEntitlement: 0.28}},
		{"the profile's class comes before everything else",
			Request{Priority: 0, AttainedTokens: 1 << 40, OrganisationShare: 1}, Request{Priority: 1}},
		{"weights of zero mean latency", Request{AttainedTokens: 1000}, Request{AttainedTokens: 50_000}},
	}
	targets := []Candidate{target("a", unchanged)}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := Place(DefaultPolicy(), c.first, targets, 1).Priority
			assert.Less(t, first, Place(DefaultPolicy(), c.second, targets, 1).Priority)
		})
	}
}

// drawCandidate draws a candidate with arbitrary reports, including impossible ones.
func drawCandidate(t *rapid.T, id string) Candidate {
	count := rapid.IntRange(-1, 2000)
	return Candidate{
		ID: id, Running: count.Draw(t, "running"), Waiting: count.Draw(t, "waiting"), MaxBatch: rapid.IntRange(0, 64).Draw(t, "batch"),
		Outstanding: count.Draw(t, "outstanding"), KVUsed: rapid.Int64Range(0, 1<<20).Draw(t, "used"),
		KVCapacity: rapid.Int64Range(0, 1<<20).Draw(t, "capacity"), CachedTokens: rapid.Int64Range(0, 1<<18).Draw(t, "cached"),
		CacheAge: time.Duration(rapid.Int64().Draw(t, "cacheAge")), ReportAge: time.Duration(rapid.Int64().Draw(t, "age")),
		TokensPerSecond: rapid.Float64Range(-1, 1e5).Draw(t, "speed"), Suspect: rapid.Bool().Draw(t, "suspect"),
	}
}

// TestPlaceProperties guards against targets that are not among the candidates,
// refusals without RetryAfter, decisions that depend on anything but the arguments,
// and priorities outside of their class, for arbitrary reports. rapid prints its seed
// on failure.
func TestPlaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 100).Draw(t, "n")
		targets := make([]Candidate, n)
		known := map[string]*Candidate{}
		healthy := 0
		for i := range targets {
			targets[i] = drawCandidate(t, strconv.Itoa(i))
			known[targets[i].ID] = &targets[i]
			if !targets[i].Suspect {
				healthy++
			}
		}
		r := Request{
			PromptTokens: rapid.Int64Range(0, 1<<20).Draw(t, "prompt"), LastTargetTokens: rapid.Int64Range(0, 1<<20).Draw(t, "hint"),
			LastTarget: strconv.Itoa(rapid.IntRange(0, 100).Draw(t, "last")), AttainedTokens: rapid.Int64().Draw(t, "attained"),
			OrganisationShare: rapid.Float64Range(0, 1).Draw(t, "share"), OrganisationEntitlement: rapid.Float64Range(0, 1).Draw(t, "entitlement"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Weights:  Weights{Latency: rapid.Float64Range(0, 10).Draw(t, "latency"), Fairness: rapid.Float64Range(0, 10).Draw(t, "fairness")},
		}
		seed := rapid.Uint64().Draw(t, "seed")
		d := Place(DefaultPolicy(), r, targets, seed)
		assert.Equal(t, d, Place(DefaultPolicy(), r, targets, seed))
		if d.Action == Refuse {
			assert.Positive(t, d.RetryAfter)
			return
		}
		require.Contains(t, known, d.Target)
		assert.LessOrEqual(t, d.CachedTokens, r.PromptTokens)
		assert.LessOrEqual(t, d.Candidates, maxSampled)
		assert.Equal(t, r.Priority, d.Priority/classStride)
		if known[d.Target].Suspect && n <= DefaultPolicy().SampleSize {
			assertNoHealthyCapacity(t, r, targets)
		}
	})
}

// assertNoHealthyCapacity fails the test if a target without recent failures has
// room for the request.
func assertNoHealthyCapacity(t *rapid.T, r Request, targets []Candidate) {
	for _, c := range targets {
		if !c.Suspect {
			p := DefaultPolicy()
			alone := Place(p, r, []Candidate{c}, 1)
			if alone.Action == Dispatch && estimatedOccupancy(&p, &c, 0) < 1 && c.ReportAge <= 0 {
				t.Fatalf("suspect target chosen although %s has room", c.ID)
			}
		}
	}
}

// TestConnectedCandidatesAreSampled guards against a random sample of many candidates that
// misses those with an open connection, and against connections that matter more than load.
func TestConnectedCandidatesAreSampled(t *testing.T) {
	p := DefaultPolicy()
	p.JitterTokens = 5
	chosen := make(map[string]int)
	for seed := range uint64(400) {
		cs := make([]Candidate, 100)
		for i := range cs {
			cs[i] = Candidate{ID: fmt.Sprint(i), MaxBatch: 6, DistanceTokens: 10}
			if i >= 80 {
				cs[i].Connected, cs[i].DistanceTokens = true, 0
			}
		}
		d := Place(p, Request{}, cs, seed)
		assert.Equal(t, ReasonConnected, d.Reason)
		chosen[d.Target]++
		for i := range cs {
			if cs[i].Connected {
				cs[i].Running = 1
			}
		}
		assert.Equal(t, ReasonLoad, Place(p, Request{}, cs, seed).Reason)
	}
	assert.Len(t, chosen, 20, "all connected candidates are chosen from time to time")
}
