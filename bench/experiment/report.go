package experiment

import "slices"

// Spread is a figure over the seeds.
type Spread struct {
	Median float64   `json:"median"`
	Min    float64   `json:"min"`
	Max    float64   `json:"max"`
	Values []float64 `json:"values"`
}

func spread(values []float64) Spread {
	return Spread{Median: quantile(values, 0.5), Min: quantile(values, 0), Max: quantile(values, 1), Values: values}
}

// Row is one line of the table.
type Row struct {
	Deployment string  `json:"deployment"`
	Load       float64 `json:"load"`
	Decider    Name    `json:"decider"`
	// Runs holds the figures for each seed, in the order of Report.Seeds.
	Runs []Summary `json:"runs"`
}

// Over returns a figure of the row over the seeds.
func (r Row) Over(figure func(Summary) float64) Spread {
	values := make([]float64, len(r.Runs))
	for i, s := range r.Runs {
		values[i] = figure(s)
	}
	return spread(values)
}

// Check is a measure with its bound.
type Check struct {
	Deployment string  `json:"deployment"`
	Measure    Measure `json:"measure"`
	Spread     Spread  `json:"spread"`
	// Bound is empty for measures that are only shown.
	Bound string `json:"bound"`
	Met   bool   `json:"met"`
}

// Rate is the load of 100 % of each seed.
type Rate struct {
	Deployment string `json:"deployment"`
	// ProgramsPerSecond is the rate at 100 %.
	ProgramsPerSecond Spread `json:"programs_per_second"`
}

// Report is the result of a suite.
type Report struct {
	Seeds    []uint64 `json:"seeds"`
	Programs int      `json:"programs"`
	Rates    []Rate   `json:"rates"`
	Rows     []Row    `json:"rows"`
	Checks   []Check  `json:"checks"`
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

func (o Options) report(outcomes [][]outcome) (Report, error) {
	bounds, err := Bounds()
	if err != nil {
		return Report{}, err
	}
	r := Report{Seeds: o.Seeds, Programs: o.Programs}
	for i, d := range o.Deployments {
		full := over(outcomes[i], func(out outcome) float64 { return out.full })
		r.Rates = append(r.Rates, Rate{Deployment: d.Name, ProgramsPerSecond: full})
		for _, load := range o.Loads {
			for _, n := range o.Names {
				if !slices.Contains(o.loads(n), load) {
					continue
				}
				row := Row{Deployment: d.Name, Load: load, Decider: n}
				for _, out := range outcomes[i] {
					row.Runs = append(row.Runs, out.runs[cell{n, load}])
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

func over(outcomes []outcome, value func(outcome) float64) Spread {
	values := make([]float64, len(outcomes))
	for i, out := range outcomes {
		values[i] = value(out)
	}
	return spread(values)
}

func check(deployment string, m measure, bounds []Bound, outcomes []outcome) Check {
	c := Check{Deployment: deployment, Measure: m.name, Spread: over(outcomes, m.value), Met: true}
	for _, b := range bounds {
		if b.Measure == m.name {
			c.Bound = b.String()
			c.Met = b.met(c.Spread.Median)
		}
	}
	return c
}
