package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// keyed returns a request for the object with a number.
func keyed(id string, object int) Request {
	r := request(id)
	r.Affinity = xxhash.Sum64String(fmt.Sprint("object ", object))
	return r
}

// preferredTargets returns the target of one request for each of some objects on idle targets.
func preferredTargets(t *testing.T, ts []Target, objects int) []string {
	t.Helper()
	d := New(0, 1)
	d.SetTargets(0, ts)
	preferred := make([]string, objects)
	for i := range preferred {
		o := d.Admit(0, keyed(fmt.Sprint(i), i))
		require.Equal(t, ReasonAffinity, o.Reason)
		preferred[i] = o.Target
		d.Done(0, o.ID, o.Target, Abandoned, 0)
	}
	return preferred
}

// TestOnlyKeysOfChangedTargetsMove guards against targets that lose what they hold of other objects
// when a target joins or leaves, or when the catalog lists them in another order. Load: one request
// for each of 20,000 objects, 36 targets, 35 after one has left, 37 after one has joined.
func TestOnlyKeysOfChangedTargetsMove(t *testing.T) {
	const objects = 20_000
	list := targets(37, 6)
	before := preferredTargets(t, list[:36], objects)
	left := preferredTargets(t, slices.Delete(slices.Clone(list[:36]), 7, 8), objects)
	joined := preferredTargets(t, list, objects)
	reordered := slices.Clone(list[:36])
	slices.Reverse(reordered)
	assert.Equal(t, before, preferredTargets(t, reordered, objects))
	movedToNew := 0
	newHomes := make(map[string]bool)
	for i, preferred := range before {
		if preferred == "t7" {
			newHomes[left[i]] = true
		} else {
			require.Equal(t, preferred, left[i], "object %d", i)
		}
		if joined[i] != preferred {
			require.Equal(t, "t36", joined[i], "object %d", i)
			movedToNew++
		}
	}
	assert.Len(t, newHomes, 35, "all others share the objects of the target that left")
	// The number has a binomial distribution: mean 541, standard deviation 23.
	assert.InDelta(t, objects/37.0, movedToNew, 5*math.Sqrt(objects/37.0))
}

// TestKeysFollowCapacity guards against small targets that get as many objects as large ones. Load:
// one request for each of 20,000 objects, targets with 2, 4, 6 and 12 slots.
func TestKeysFollowCapacity(t *testing.T) {
	const objects = 20_000
	list := targets(4, 0)
	for i, slots := range []int{2, 4, 6, 12} {
		list[i].Slots = slots
	}
	perTarget := make(map[string]float64)
	for _, preferred := range preferredTargets(t, list, objects) {
		perTarget[preferred]++
	}
	for _, target := range list {
		expected := float64(objects) * float64(target.Slots) / 24
		assert.InDelta(t, expected, perTarget[target.ID], 5*math.Sqrt(expected), target.ID)
	}
}

// popularLoad is a load in which three of ten requests are for one object, and the others for 499.
func popularLoad(perSecond float64) affinityLoad {
	return affinityLoad{slots: repeated(6, 36), speeds: repeated(1, 36), serviceTime: 100 * time.Millisecond, perSecond: perSecond, popularShare: 0.3, objects: 500, duration: 20 * time.Second}
}

// TestPopularObjectIsSpread guards against a popular object that overloads one target or waits for
// it, and against other objects that lose their targets to it. Load: 36 targets with 6 slots that
// hold 0.6, 0.9, 3.6 and 5.7 requests in the mean; three of ten are for one object.
func TestPopularObjectIsSpread(t *testing.T) {
	for _, perSecond := range []float64{200, 310, 1300, 2050} {
		l := popularLoad(perSecond)
		r := l.run(1)
		l.keyless = true
		without := l.run(1)
		t.Logf("%v/s: busiest %.2f %+v, without keys %.2f %+v", perSecond, r.busiest(l), r, without.busiest(l), without)
		assert.Zero(t, r.overBound)
		// The bound of part 9 for the busiest target of a calm day.
		assert.LessOrEqual(t, r.busiest(l), 1.4)
		// 2,050 requests a second are 95 % of the capacity: some wait with and without keys.
		assert.LessOrEqual(t, r.waited, without.waited+r.requests/100)
		assert.LessOrEqual(t, r.popularWaited, r.popular/100)
		assert.Less(t, r.popularTargets, 36, "the object keeps to some targets")
		assert.Greater(t, r.warm, 1.5*without.warm)
	}
}

// TestUnevenTargets guards against slow and small targets that get as many requests by affinity as
// others. Load: 500 equally popular objects; 30 targets, of which every third takes 2.4 times as
// long; 16 targets with 2 to 12 slots.
func TestUnevenTargets(t *testing.T) {
	uneven := affinityLoad{slots: repeated(6, 30), speeds: slices.Repeat([]float64{1, 1, 0.7 / 1.7}, 10), serviceTime: 70 * time.Millisecond, perSecond: 600, objects: 500, duration: 20 * time.Second}
	sizes := affinityLoad{slots: slices.Repeat([]float64{2, 4, 6, 12}, 4), speeds: repeated(1, 16), serviceTime: 100 * time.Millisecond, perSecond: 600, objects: 500, duration: 20 * time.Second}
	for _, l := range []affinityLoad{uneven, sizes} {
		r := l.run(1)
		l.keyless = true
		without := l.run(1)
		t.Logf("busiest %.2f %+v, without keys %.2f %+v", r.busiest(l), r, without.busiest(l), without)
		if l.speeds[0] == l.speeds[2] {
			// The bound of targets of equal speed follows from the mean of all.
			assert.Zero(t, r.overBound)
		}
		assert.LessOrEqual(t, r.busiest(l), 1.4)
		assert.LessOrEqual(t, r.waited, without.waited+r.requests/100)
		assert.Greater(t, r.warm, 1.5*without.warm)
	}
}

// TestOverruledTargets guards against a key that keeps its requests at a target which is over its
// bound, slow, cold, suspect, leaving or evacuated, that refused as full, that failed the request or
// that the entry can't reach, and against objects that do not come back afterwards. One request for
// one object; the other targets are idle.
func TestOverruledTargets(t *testing.T) {
	const now = time.Minute
	preferred := preferredTargets(t, targets(6, 6), 1)[0]
	for name, overrule := range map[string]func(d *Dispatcher, list []Target, t *target, r *Request){
		"over its bound": func(_ *Dispatcher, _ []Target, t *target, _ *Request) { t.outstanding = 2 },
		"slow": func(_ *Dispatcher, _ []Target, t *target, _ *Request) {
			t.stats = targetStats{samples: minSamples, unitTime: 0.2, updatedAt: now}
		},
		"failing": func(_ *Dispatcher, _ []Target, t *target, _ *Request) {
			t.stats = targetStats{samples: minSamples, unitTime: 0.1, failureRate: 0.3, updatedAt: now}
		},
		"cold": func(d *Dispatcher, list []Target, t *target, _ *Request) {
			for i := range list {
				if list[i].ID == t.ID {
					list[i].ColdUntil, list[i].ColdPerSecond = now+time.Second, 1000
				}
			}
			d.SetTargets(now-time.Second/2, list)
		},
		"suspect": func(_ *Dispatcher, _ []Target, t *target, _ *Request) { t.observe(now, Unreachable) },
		"leaving": func(_ *Dispatcher, _ []Target, t *target, _ *Request) { t.observe(now, Leaving) },
		"draining": func(d *Dispatcher, list []Target, t *target, _ *Request) {
			for i := range list {
				list[i].Draining = list[i].ID == t.ID
			}
			d.SetTargets(now, list)
		},
		"evacuated": func(d *Dispatcher, list []Target, t *target, _ *Request) {
			for i := range list {
				list[i].Draining, list[i].Evacuated = list[i].ID == t.ID, list[i].ID == t.ID
			}
			d.SetTargets(now, list)
		},
		"full":        func(_ *Dispatcher, _ []Target, t *target, _ *Request) { t.observe(now, NotRun) },
		"failed it":   func(_ *Dispatcher, _ []Target, t *target, r *Request) { r.Exclude = []string{t.ID} },
		"unreachable": func(_ *Dispatcher, _ []Target, t *target, r *Request) { r.Unreachable = []string{t.ID} },
	} {
		d := New(0, 1)
		list := targets(6, 6)
		d.SetTargets(0, list)
		for _, other := range d.targets {
			other.stats = targetStats{samples: minSamples, unitTime: 0.1, updatedAt: now}
		}
		r := keyed("r", 0)
		overrule(d, list, d.targets[preferred], &r)
		o := d.Admit(now, r)
		assert.NotEqual(t, preferred, o.Target, name)
		assert.Contains(t, o.Reason, "affinity", name)
		again := d.Admit(now, r)
		assert.Equal(t, o.Target, again.Target, "%s: the next target of the key is stable", name)
		d.Done(now, "r", again.Target, Abandoned, 0)
		if t := d.targets[preferred]; name == "over its bound" {
			t.outstanding = 0
		}
		list = targets(6, 6)
		d.SetTargets(now+20*time.Second, list)
		o = d.Admit(now+20*time.Second, keyed("later", 0))
		assert.Equal(t, preferred, o.Target, name)
		assert.Equal(t, ReasonAffinity, o.Reason, name)
	}
}

// TestQuietServiceKeepsObjects guards against an object that loses its target because it is the only
// one with requests. Load: one request at a time, one a second, for one object at three targets.
func TestQuietServiceKeepsObjects(t *testing.T) {
	d := New(0, 1)
	d.SetTargets(0, targets(3, 1))
	preferred := preferredTargets(t, targets(3, 1), 1)[0]
	for i := range 100 {
		now := time.Duration(i) * time.Second
		d.Tick(now)
		r := keyed(fmt.Sprint(i), 0)
		r.Entry = fmt.Sprint("entry ", i%5)
		o := d.Admit(now, r)
		require.Equal(t, preferred, o.Target, "request %d", i)
		d.Done(now+50*time.Millisecond, o.ID, o.Target, Completed, 1)
	}
}

// TestFallsBackToThePolicy guards against requests that are held back although a target has
// capacity, and against requests that queue for their key while a slow target is free.
func TestFallsBackToThePolicy(t *testing.T) {
	d := New(0, 1)
	list := targets(2, 2)
	list[0].ColdUntil, list[0].ColdPerSecond = time.Hour, 1000
	list[1].ColdUntil, list[1].ColdPerSecond = time.Hour, 1000
	d.SetTargets(0, list)
	o := d.Admit(time.Second, keyed("all are cold", 0))
	assert.NotEmpty(t, o.Target)
	assert.Equal(t, ReasonCold, o.Reason)

	d = New(0, 1)
	d.SetTargets(0, targets(3, 2))
	for id, target := range d.targets {
		target.stats = targetStats{samples: minSamples, unitTime: 0.1, updatedAt: time.Second}
		if id == "t0" {
			target.stats.unitTime = 0.17
		}
	}
	perTarget := make(map[string]int)
	for i := range 5 {
		o := d.Admit(time.Second, keyed(fmt.Sprint(i), 0))
		perTarget[o.Target]++
		assert.Equal(t, i < 4, o.Reason != "load", "request %d", i)
	}
	assert.Equal(t, map[string]int{"t0": 1, "t1": 2, "t2": 2}, perTarget)
}

// TestRequestsWithoutKeyAreUnchanged guards against affinity that changes the placement of other
// requests. Load: 5,000 requests without a key, or with one and with prompt parts, on 40 engines. One
// dispatcher gets no keys and another also places 5,000 requests with keys on another service.
func TestRequestsWithoutKeyAreUnchanged(t *testing.T) {
	list := targets(40, 6)
	for i := range list {
		list[i].KVCapacity = 100_000
	}
	for i := range 20 {
		list = append(list, Target{ID: fmt.Sprint("k", i), Service: "keyed", DataCentre: "a", Slots: 6})
	}
	decisions := func(keys bool) []Outcome {
		d := New(0, 7)
		d.SetTargets(0, list)
		var out, running []Outcome
		for i := range 5000 {
			now := time.Duration(i) * time.Millisecond
			r := keyed(fmt.Sprint(i), i%50)
			r.Entry = fmt.Sprint("entry ", i%9)
			if i%3 == 0 {
				r.Affinity = 0
			} else {
				r.Parts = []Part{{ID: fmt.Sprint("part ", i%17), Tokens: 200}}
			}
			if !keys {
				r.Affinity = 0
			}
			o := d.Admit(now, r)
			out, running = append(out, o), append(running, o)
			if keys {
				other := keyed(fmt.Sprint("other ", i), i%50)
				other.Service = "keyed"
				o := d.Admit(now, other)
				require.Contains(t, o.Reason, "affinity")
				d.Done(now, o.ID, o.Target, Completed, 1)
			}
			if len(running) > 100 {
				d.Done(now, running[0].ID, running[0].Target, Completed, 1)
				running = running[1:]
			}
		}
		return out
	}
	assert.Equal(t, decisions(false), decisions(true))
}
