package experiment

import "slices"

// Spread describes the distribution of a value over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	// Values holds one value for each seed.
	Values []float64 `json:"values"`
}

// newSpread returns the spread of the values.
func newSpread(values []float64) Spread {
	return Spread{Median: quantile(values, 0.5), Min: quantile(values, 0), Max: quantile(values, 1), Values: values}
}

// Row holds the metrics of one decider at one load in one deployment.
type Row struct {
	Deployment string `json:"deployment"`
	// Load is the arrival rate relative to the rate at a load of 100 %.
	Load    float64     `json:"load"`
	Decider DeciderName `json:"decider"`
	// Runs holds the metrics for each seed, in the order of Report.Seeds.
	Runs []Summary `json:"runs"`
}

// SpreadOf returns the spread of a metric over the seeds.
func (r Row) SpreadOf(metric func(Summary) float64) Spread {
	values := make([]float64, len(r.Runs))
	for i, s := range r.Runs {
		values[i] = metric(s)
	}
	return newSpread(values)
}

// Check is a measure with its bound.
type Check struct {
	Deployment string  `json:"deployment"`
	Measure    Measure `json:"measure"`
	// Spread is the spread of the measure over the seeds.
	Spread Spread `json:"spread"`
	// Bound is empty for measures that are only shown.
	Bound string `json:"bound"`
	// Met is true if the median is within the bound or there is no bound.
	Met bool `json:"met"`
}

// Rate is the arrival rate at a load of 100 % in one deployment.
type Rate struct {
	Deployment string `json:"deployment"`
	// ProgramsPerSecond is the spread of the rate over the seeds.
	ProgramsPerSecond Spread `json:"programs_per_second"`
}

// Report is the result of all trials.
type Report struct {
	Seeds []uint64 `json:"seeds"`
	// Programs is the number of programs in a run.
	Programs int     `json:"programs"`
	Rates    []Rate  `json:"rates"`
	Rows     []Row   `json:"rows"`
	Checks   []Check `json:"checks"`
}

// Failed returns the checks whose bound is not met.
func (r Report) Failed() []Check {
	var failed []Check
	for _, c := range r.Checks {
		if !c.Met {
			failed = append(failed, c)
		}
	}
	return failed
}

// report combines the outcomes of all trials, which are indexed by deployment and seed,
// into a report.
func (o Options) report(outcomes [][]outcome) (Report, error) {
	bounds, err := Bounds()
	if err != nil {
		return Report{}, err
	}
	r := Report{Seeds: o.Seeds, Programs: o.Programs}
	for i, d := range o.Deployments {
		fullLoadRate := spreadOverSeeds(outcomes[i], func(out outcome) float64 { return out.fullLoadRate })
		r.Rates = append(r.Rates, Rate{Deployment: d.Name, ProgramsPerSecond: fullLoadRate})
		for _, load := range o.Loads {
			for _, n := range o.Deciders {
				if !slices.Contains(o.loadsOf(n), load) {
					continue
				}
				row := Row{Deployment: d.Name, Load: load, Decider: n}
				for _, out := range outcomes[i] {
					row.Runs = append(row.Runs, out.runs[runKey{n, load}])
				}
				r.Rows = append(r.Rows, row)
			}
		}
		for _, m := range measures(o) {
			r.Checks = append(r.Checks, check(d.Name, m, bounds, outcomes[i]))
		}
	}
	return r, nil
}

// spreadOverSeeds returns the spread of a value that is computed from each outcome.
func spreadOverSeeds(outcomes []outcome, value func(outcome) float64) Spread {
	values := make([]float64, len(outcomes))
	for i, out := range outcomes {
		values[i] = value(out)
	}
	return newSpread(values)
}

// check compares a measure with its bound.
func check(deployment string, m measureDefinition, bounds []Bound, outcomes []outcome) Check {
	c := Check{Deployment: deployment, Measure: m.name, Spread: spreadOverSeeds(outcomes, m.value), Met: true}
	for _, b := range bounds {
		if b.Measure == m.name {
			c.Bound = b.String()
			c.Met = b.metBy(c.Spread.Median)
		}
	}
	return c
}
