// Package metrics exports a go-metrics registry in the Prometheus text format.
package metrics

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
)

// nanosecondsPerSecond converts the values of timers, which go-metrics stores in
// nanoseconds.
const nanosecondsPerSecond = 1e9

// quantiles are the quantiles that are exported for each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler returns a handler that serves all metrics of a registry. The registered name of
// a metric may contain labels in the format of Name.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		for _, family := range gatherFamilies(r) {
			if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
				return
			}
		}
	})
}

// Name returns the registry name of a metric with labels. The labels are pairs of key and
// value: Name("x", "code", "y") returns "x;code=y".
func Name(name string, labels ...string) string {
	for i := 0; i+1 < len(labels); i += 2 {
		name += ";" + labels[i] + "=" + labels[i+1]
	}
	return name
}

// gatherFamilies converts the metrics of a registry to metric families, ordered by name.
func gatherFamilies(r gometrics.Registry) []*dto.MetricFamily {
	families := make(map[string]*dto.MetricFamily)
	r.Each(func(registered string, m any) {
		kind, metric := convertMetric(m)
		if metric == nil {
			return
		}
		name, labels := splitName(registered)
		metric.Label = labels
		family := families[name]
		if family == nil {
			family = &dto.MetricFamily{Name: &name, Type: &kind}
			families[name] = family
		}
		family.Metric = append(family.Metric, metric)
	})
	sorted := make([]*dto.MetricFamily, 0, len(families))
	for _, family := range families {
		sorted = append(sorted, family)
	}
	slices.SortFunc(sorted, func(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) })
	return sorted
}

// splitName parses a name in the format of Name into the exported name and the labels.
func splitName(name string) (string, []*dto.LabelPair) {
	parts := strings.Split(name, ";")
	var labels []*dto.LabelPair
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		labels = append(labels, &dto.LabelPair{Name: &key, Value: &value})
	}
	return prometheusName(parts[0]), labels
}

// namePrefix is the prefix of the exported names of all metrics.
const namePrefix = "hemlockvale_"

var invalidNameCharacter = regexp.MustCompile(`[^a-zA-Z0-9_:]`)

// prometheusName converts a registry name, which may contain dots, to a valid Prometheus
// name.
func prometheusName(name string) string {
	return namePrefix + strings.TrimPrefix(invalidNameCharacter.ReplaceAllString(name, "_"), namePrefix)
}

// convertMetric returns the type and the value of a metric, or a nil metric if its type is
// not supported.
func convertMetric(m any) (dto.MetricType, *dto.Metric) {
	switch m := m.(type) {
	case gometrics.Counter:
		v := float64(m.Count())
		return dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: &v}}
	case gometrics.Gauge:
		v := float64(m.Value())
		return dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &v}}
	case gometrics.GaugeFloat64:
		v := m.Value()
		return dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &v}}
	case gometrics.Timer:
		s := m.Snapshot()
		return dto.MetricType_SUMMARY, summaryMetric(uint64(s.Count()), float64(s.Sum()), s.Percentiles(quantiles))
	}
	return dto.MetricType_UNTYPED, nil
}

// summaryMetric returns a Prometheus summary in seconds. sum and quantileValues are in
// nanoseconds.
func summaryMetric(count uint64, sum float64, quantileValues []float64) *dto.Metric {
	sum /= nanosecondsPerSecond
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i := range quantileValues {
		v := quantileValues[i] / nanosecondsPerSecond
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &v})
	}
	return &dto.Metric{Summary: s}
}
