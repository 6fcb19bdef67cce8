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
	// maxLatencyMicros is the largest latency that a histogram can record, in microseconds.
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	// significantFigures is the precision of the histograms, in decimal digits.
	significantFigures = 3
)

// Latency summarises a histogram of latencies in milliseconds.
type Latency struct {
	// Count is the number of recorded latencies.
	Count int64 `json:"count"`
	// Mean is the arithmetic mean.
	Mean float64 `json:"mean_ms"`
	// P50 is the median.
	P50 float64 `json:"p50_ms"`
	// P95 is the 95th percentile.
	P95 float64 `json:"p95_ms"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99_ms"`
	// Max is the largest latency.
	Max float64 `json:"max_ms"`
}

// Report holds the results of a run.
type Report struct {
	// Seconds is the length of the run.
	Seconds float64 `json:"seconds"`
	// Program is the latency of completed programs, from the start to the last response.
	Program Latency `json:"program"`
	// Call is the latency of successful calls, without their failed attempts.
	Call Latency `json:"call"`
	// FirstToken is the time until the first part of the text of a successful call.
	FirstToken Latency `json:"first_token"`
	// Organisations holds the latency of completed programs by organisation.
	Organisations map[string]Latency `json:"organisations"`
	// WorstServed is the organisation with the highest 95th percentile of the program
	// latency.
	WorstServed string `json:"worst_served_organisation"`
	// ProgramsFailed counts the programs that ended with a failed call, by organisation.
	ProgramsFailed map[string]int64 `json:"programs_failed"`
	// Refusals counts failed attempts. The key is the code of the problem and whether
	// the request was executed, separated by a slash, or "connection" for other errors.
	Refusals map[string]int64 `json:"refusals"`
	// UnexplainedErrors counts the calls that failed after all retries, by the text of
	// their last error.
	UnexplainedErrors map[string]int64 `json:"unexplained_errors"`
	// CachedPrefixShare is the fraction of all prompt tokens that engines had cached,
	// from 0 to 1.
	CachedPrefixShare float64 `json:"cached_prefix_share"`
	// CallsPerSecond is the number of successful calls per second of the run.
	CallsPerSecond float64 `json:"calls_per_second"`
	// TokensGenerated is the number of completion tokens of all successful calls.
	TokensGenerated int64 `json:"tokens_generated"`
}

// recorder collects the results of a run. It is safe for concurrent use.
type recorder struct {
	mu                                           sync.Mutex // guards the fields below
	call, firstToken, program                    *hdrhistogram.Histogram
	byOrganisation                               map[string]*hdrhistogram.Histogram
	failed                                       map[string]int64
	refusals                                     map[string]int64
	unexplained                                  map[string]int64
	promptTokens, cachedTokens, completionTokens int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

func newRecorder() *recorder {
	return &recorder{
		call: newHistogram(), firstToken: newHistogram(), program: newHistogram(),
		byOrganisation: make(map[string]*hdrhistogram.Histogram),
		failed:         make(map[string]int64), refusals: make(map[string]int64), unexplained: make(map[string]int64),
	}
}

// record adds a latency to a histogram, in microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values over maxLatencyMicros. Calls cannot exceed it,
	// because they have a timeout; a program that does is not recorded.
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

// callDone records a successful call.
func (r *recorder) callDone(firstToken, total time.Duration, c client.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.firstToken, firstToken)
	record(r.call, total)
	r.promptTokens += c.PromptTokens
	r.cachedTokens += c.CachedTokens
	r.completionTokens += c.CompletionTokens
}

// attemptFailed counts a failed attempt of a call.
func (r *recorder) attemptFailed(_ string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var problem *client.Problem
	if errors.As(err, &problem) {
		r.refusals[problem.Code+"/"+problem.Executed]++
		return
	}
	r.refusals["connection"]++
}

// callFailed counts a call that failed after all retries.
func (r *recorder) callFailed(_ string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := "unknown"
	if err != nil {
		text = fmt.Sprintf("%.160s", err.Error())
	}
	r.unexplained[text]++
}

// programDone records a completed program.
func (r *recorder) programDone(organisation string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.program, d)
	if r.byOrganisation[organisation] == nil {
		r.byOrganisation[organisation] = newHistogram()
	}
	record(r.byOrganisation[organisation], d)
}

// programFailed counts a program that ended with a failed call.
func (r *recorder) programFailed(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[organisation]++
}

// report returns the results of a run that took the given time.
func (r *recorder) report(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Seconds: elapsed.Seconds(), Program: summarise(r.program), Call: summarise(r.call), FirstToken: summarise(r.firstToken),
		Organisations: make(map[string]Latency), ProgramsFailed: r.failed, Refusals: r.refusals, UnexplainedErrors: r.unexplained,
		CachedPrefixShare: ratio(r.cachedTokens, r.promptTokens), CallsPerSecond: float64(r.call.TotalCount()) / elapsed.Seconds(), TokensGenerated: r.completionTokens,
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

// summarise converts a histogram of microseconds to a Latency in milliseconds.
func summarise(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Print writes the report as text tables.
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
	fmt.Fprintf(w, "prefix tokens cached\t%.1f %%\n", 100*r.CachedPrefixShare)
	printCounts(w, "refusal", r.Refusals)
	printCounts(w, "program failed", r.ProgramsFailed)
	printCounts(w, "unexplained error", r.UnexplainedErrors)
	return w.Flush()
}

// printCounts writes one line for each count.
func printCounts(w io.Writer, title string, m map[string]int64) {
	for _, name := range sortedNames(m) {
		fmt.Fprintf(w, "%s: %s\t%d\n", title, name, m[name])
	}
}

// sortedNames returns the keys of m in ascending order.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
