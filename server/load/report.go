package load

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlockvale.dev/server/client"
)

const (
	// histogramMax is the largest latency that is told apart, in microseconds.
	histogramMax = int64(time.Hour / time.Microsecond)
	// significantFigures is the precision of the histograms.
	significantFigures = 3
)

// Latency summarises a histogram; all values are in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is what callers experienced.
type Report struct {
	// Seconds is the length of the run.
	Seconds float64 `json:"seconds"`
	// Program covers whole programs, Call answered calls, FirstToken the time to the first part.
	Program    Latency `json:"program"`
	Call       Latency `json:"call"`
	FirstToken Latency `json:"first_token"`
	// Organisations holds the latency of each organisation's programs.
	Organisations map[string]Latency `json:"organisations"`
	// WorstServed has the highest 95th percentile.
	WorstServed string `json:"worst_served_organisation"`
	// ProgramsFailed counts programs that got no answer, by organisation.
	ProgramsFailed map[string]int64 `json:"programs_failed"`
	// Refusals counts refused attempts, by code and whether they ran.
	Refusals map[string]int64 `json:"refusals"`
	// Unexplained counts calls without an answer after all retries, by their last error.
	Unexplained map[string]int64 `json:"unexplained_errors"`
	// CachedPrefix is the part of all prompt tokens that engines had cached, from 0 to 1.
	CachedPrefix float64 `json:"cached_prefix_share"`
	// CallsPerSecond counts answered calls.
	CallsPerSecond float64 `json:"calls_per_second"`
	// TokensGenerated is the sum of the answers' tokens.
	TokensGenerated int64 `json:"tokens_generated"`
}

// recorder collects what happened; it is safe for concurrent use.
type recorder struct {
	mu                        sync.Mutex
	call, first, program      *hdrhistogram.Histogram
	byOrganisation            map[string]*hdrhistogram.Histogram
	failed                    map[string]int64
	refusals                  map[string]int64
	unexplained               map[string]int64
	prompt, cached, generated int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, significantFigures)
}

func newRecorder() *recorder {
	return &recorder{
		call: newHistogram(), first: newHistogram(), program: newHistogram(),
		byOrganisation: make(map[string]*hdrhistogram.Histogram),
		failed:         make(map[string]int64), refusals: make(map[string]int64), unexplained: make(map[string]int64),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values over the maximum cannot occur: calls have a time limit.
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func (r *recorder) answered(first, whole time.Duration, a client.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.first, first)
	record(r.call, whole)
	r.prompt += a.PromptTokens
	r.cached += a.CachedTokens
	r.generated += a.CompletionTokens
}

// refused counts a failed attempt: by its code when the system explained it.
func (r *recorder) refused(_ string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var problem *client.Problem
	if errors.As(err, &problem) {
		r.refusals[problem.Code+"/"+problem.Executed]++
		return
	}
	r.refusals["connection"]++
}

// callFailed counts a call that got no answer after all retries.
func (r *recorder) callFailed(_ string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := "unknown"
	if err != nil {
		text = fmt.Sprintf("%.160s", err.Error())
	}
	r.unexplained[text]++
}

func (r *recorder) programDone(organisation string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.program, d)
	if r.byOrganisation[organisation] == nil {
		r.byOrganisation[organisation] = newHistogram()
	}
	record(r.byOrganisation[organisation], d)
}

func (r *recorder) programFailed(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[organisation]++
}

func (r *recorder) report(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Seconds: elapsed.Seconds(), Program: summarise(r.program), Call: summarise(r.call), FirstToken: summarise(r.first),
		Organisations: make(map[string]Latency), ProgramsFailed: r.failed, Refusals: r.refusals, Unexplained: r.unexplained,
		CachedPrefix: share(r.cached, r.prompt), CallsPerSecond: float64(r.call.TotalCount()) / elapsed.Seconds(), TokensGenerated: r.generated,
	}
	for organisation, h := range r.byOrganisation {
		report.Organisations[organisation] = summarise(h)
	}
	for _, organisation := range sortedNames(report.Organisations) {
		worst := report.Organisations[report.WorstServed]
		if report.WorstServed == "" || report.Organisations[organisation].P95 > worst.P95 {
			report.WorstServed = organisation
		}
	}
	return report
}

func summarise(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "latency (ms)\tcount\tmean\tp50\tp95\tp99\tmax")
	line := func(name string, l Latency) {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, l.Count, l.Mean, l.P50, l.P95, l.P99, l.Max)
	}
	line("program", r.Program)
	line("call", r.Call)
	line("first token", r.FirstToken)
	for _, organisation := range sortedNames(r.Organisations) {
		line("program of "+organisation, r.Organisations[organisation])
	}
	fmt.Fprintf(w, "worst-served organisation\t%s\n", r.WorstServed)
	fmt.Fprintf(w, "calls per second\t%.1f\n", r.CallsPerSecond)
	fmt.Fprintf(w, "prefix tokens cached\t%.1f %%\n", 100*r.CachedPrefix)
	counts(w, "refusal", r.Refusals)
	counts(w, "program failed", r.ProgramsFailed)
	counts(w, "unexplained error", r.Unexplained)
	return w.Flush()
}

func counts(w io.Writer, title string, m map[string]int64) {
	for _, name := range sortedNames(m) {
		fmt.Fprintf(w, "%s: %s\t%d\n", title, name, m[name])
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
