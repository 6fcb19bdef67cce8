package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// connectionLoad is a load of many entries on the targets of one service. Each entry keeps
// idle connections as server/forward does.
type connectionLoad struct {
	targets, slots, entries int
	// perEntry is the mean number of requests a second of one entry; entries differ by a
	// factor of up to three from each other.
	perEntry float64
	// serviceTime is the mean time of a request at its target.
	serviceTime time.Duration
	duration    time.Duration
	// heavyShare is the share of the first entry in all requests; 0 for its usual one.
	heavyShare float64
	// anonymous hides the entries from the dispatcher.
	anonymous bool
	// maxConnections is the limit of each target; 0 for none.
	maxConnections int
	// replace returns the targets to set at a time; nil for no change. It is called every
	// second, and may be nil.
	replace func(now time.Duration) []Target
}

// connectionResult is what a load has led to.
type connectionResult struct {
	requests, opened, waited int
	perTarget                map[string]int
	// maxConnections is the highest number of connections of all entries to one target.
	maxConnections int
}

// busiest returns the requests of the busiest target as a multiple of the mean.
func (r connectionResult) busiest(targets int) float64 {
	most := 0
	for _, n := range r.perTarget {
		most = max(most, n)
	}
	return float64(most) * float64(targets) / float64(r.requests)
}

// openedShare returns the share of requests that needed a new connection.
func (r connectionResult) openedShare() float64 { return float64(r.opened) / float64(r.requests) }

// runningRequest is a request at its target.
type runningRequest struct {
	ends       time.Duration
	id, target string
	entry      int
}

type runningRequests []runningRequest

func (h runningRequests) Len() int           { return len(h) }
func (h runningRequests) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h runningRequests) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningRequests) Push(x any)        { *h = append(*h, x.(runningRequest)) }
func (h *runningRequests) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// pair is an entry with a target.
type pair struct {
	entry  int
	target string
}

// run runs the load and counts the connections that the entries open.
func (l connectionLoad) run(seed uint64) connectionResult {
	random := rand.New(rand.NewPCG(seed, 7))
	d := New(0, seed)
	list := targets(l.targets, l.slots)
	for i := range list {
		list[i].MaxConnections = l.maxConnections
	}
	d.SetTargets(0, list)
	weights, total := make([]float64, l.entries), 0.0
	for i := range weights {
		weights[i] = 0.5 + random.Float64()
		total += weights[i]
	}
	if l.heavyShare > 0 {
		total -= weights[0]
		weights[0] = total * l.heavyShare / (1 - l.heavyShare)
		total += weights[0]
	}
	result := connectionResult{perTarget: make(map[string]int)}
	pools := make(map[pair][]time.Duration)
	open := make(map[string]int)
	byID := make(map[string]int)
	running := &runningRequests{}
	start := func(now time.Duration, outcomes ...Outcome) {
		for _, o := range outcomes {
			entry := byID[o.ID]
			if o.Target == "" {
				continue
			}
			result.requests++
			result.perTarget[o.Target]++
			if o.Waited > 0 {
				result.waited++
			}
			key := pair{entry, o.Target}
			idle := pools[key]
			for len(idle) > 0 && idle[0] <= now {
				idle = idle[1:]
				open[o.Target]--
			}
			if len(idle) > 0 {
				idle = idle[:len(idle)-1]
			} else {
				result.opened++
				open[o.Target]++
			}
			pools[key] = idle
			result.maxConnections = max(result.maxConnections, open[o.Target])
			ends := now + time.Duration((0.5+random.Float64())*float64(l.serviceTime))
			heap.Push(running, runningRequest{ends, o.ID, o.Target, entry})
		}
	}
	end := func() {
		r := heap.Pop(running).(runningRequest)
		key := pair{r.entry, r.target}
		idle := append(pools[key], r.ends+IdleConnectionTime)
		if len(idle) > MaxIdleConnections {
			idle = idle[1:]
			open[r.target]--
		}
		pools[key] = idle
		start(r.ends, d.Done(r.ends, r.id, r.target, Completed, 1)...)
	}
	tick := time.Duration(0)
	now := time.Duration(0)
	for n := 0; now < l.duration; n++ {
		now += time.Duration(random.ExpFloat64() / (l.perEntry * float64(l.entries)) * float64(time.Second))
		for running.Len() > 0 && (*running)[0].ends <= now {
			end()
		}
		if now > tick+time.Second {
			tick = now
			start(now, d.Tick(now)...)
			for key, idle := range pools {
				for len(idle) > 0 && idle[0] <= now {
					idle = idle[1:]
					open[key.target]--
				}
				pools[key] = idle
			}
			if l.replace != nil {
				if list := l.replace(now); list != nil {
					start(now, d.SetTargets(now, list)...)
				}
			}
		}
		entry, at := 0, random.Float64()*total
		for at > weights[entry] && entry < l.entries-1 {
			at -= weights[entry]
			entry++
		}
		r := request(fmt.Sprint(n))
		byID[r.ID] = entry
		if !l.anonymous {
			r.Entry = fmt.Sprint("entry ", entry)
		}
		start(now, d.Admit(now, r))
	}
	return result
}

// lightLoad is the load of 100 entries on a service with free slots.
func lightLoad(targets int, perEntry float64) connectionLoad {
	return connectionLoad{targets: targets, slots: 6, entries: 100, perEntry: perEntry, serviceTime: 200 * time.Millisecond, duration: 30 * time.Second}
}
