package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// affinityLoad is a load of requests for objects on one service.
type affinityLoad struct {
	// slots and speeds describe the targets; a request takes serviceTime at a target of speed 1.
	slots, speeds []float64
	serviceTime   time.Duration
	perSecond     float64
	// popularShare is the share of the most popular of the objects; the others are equally popular.
	popularShare float64
	objects      int
	duration     time.Duration
	// keyless hides the objects from the dispatcher.
	keyless bool
}

// affinityResult is what a load has led to. Shares are of the requests in question.
type affinityResult struct {
	requests, waited, popular, popularWaited int
	perTarget                                []float64
	// popularTargets is the number of targets that got the popular object, and overBound the
	// number of grants by affinity at a target that held more than its bound with them.
	popularTargets, overBound int
	// warm is the share of requests at a target that handled their object within 10 s.
	warm float64
}

// busiest returns the requests of the busiest target for its capacity, over the mean.
func (r *affinityResult) busiest(l affinityLoad) float64 {
	total, most := 0.0, 0.0
	for i := range l.speeds {
		total += l.speeds[i] * l.slots[i]
	}
	for i, n := range r.perTarget {
		most = max(most, n/float64(r.requests)*total/(l.speeds[i]*l.slots[i]))
	}
	return most
}

func (l affinityLoad) run(seed uint64) affinityResult {
	random := rand.New(rand.NewPCG(seed, 3))
	d := New(0, seed)
	list := targets(len(l.speeds), 0)
	index := make(map[string]int)
	for i := range list {
		list[i].Slots = int(l.slots[i])
		index[list[i].ID] = i
	}
	d.SetTargets(0, list)
	result := affinityResult{perTarget: make([]float64, len(list))}
	handled := make(map[[2]int]time.Duration)
	objectOf := make(map[string]int)
	popularTargets := make(map[int]bool)
	var running runningRequests
	warm := 0
	start := func(now time.Duration, outcomes ...Outcome) {
		for _, o := range outcomes {
			if o.Target == "" {
				continue
			}
			at, object := index[o.Target], objectOf[o.ID]
			result.requests++
			result.perTarget[at]++
			if o.Waited > 0 {
				result.waited++
			}
			if object == 0 {
				result.popular++
				popularTargets[at] = true
				if o.Waited > 0 {
					result.popularWaited++
				}
			}
			if last, ok := handled[[2]int{object, at}]; ok && now-last <= 10*time.Second {
				warm++
			}
			handled[[2]int{object, at}] = now
			total, slots := 0.0, 0.0
			for i, t := range list {
				total += float64(d.targets[t.ID].outstanding)
				slots += l.slots[i]
			}
			// The bound of the specification: 1.25 times the mean, in whole requests, at least one.
			bound := max(1, math.Ceil(1.25*total*l.slots[at]/slots))
			if float64(d.targets[o.Target].outstanding) > bound && (o.Reason == ReasonAffinity || o.Reason == ReasonAffinityNext) {
				result.overBound++
			}
			ends := now + time.Duration((0.5+random.Float64())*float64(l.serviceTime)/l.speeds[at])
			running = append(running, runningRequest{ends: ends, id: o.ID, target: o.Target})
		}
	}
	now := time.Duration(0)
	for n := 0; now < l.duration; n++ {
		now += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second))
		for len(running) > 0 {
			first := 0
			for i := range running {
				if running[i].ends < running[first].ends {
					first = i
				}
			}
			r := running[first]
			if r.ends > now {
				break
			}
			running = slices.Delete(running, first, first+1)
			start(r.ends, d.Done(r.ends, r.id, r.target, Completed, 1)...)
		}
		object := 0
		if random.Float64() >= l.popularShare {
			object = 1 + random.IntN(l.objects-1)
		}
		r := keyed(fmt.Sprint(n), object)
		if l.keyless {
			r.Affinity = 0
		}
		r.Entry = fmt.Sprint("entry ", random.IntN(100))
		objectOf[r.ID] = object
		start(now, d.Admit(now, r))
	}
	result.popularTargets, result.warm = len(popularTargets), float64(warm)/float64(max(result.requests, 1))
	return result
}

func repeated(value float64, n int) []float64 { return slices.Repeat([]float64{value}, n) }
