// Package metrics serves a go-metrics registry in the Prometheus text format.
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

// nanosecondsPerSecond converts timers, which go-metrics keeps in nanoseconds.
const nanosecondsPerSecond = 1e9

var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves all metrics of the registry. A name may carry labels, as Name returns it.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		for _, family := range gather(r) {
			if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
				return
			}
		}
	})
}

// Name appends label pairs to a metric's name: Name("x", "code", "y") is x;code=y.
func Name(name string, labels ...string) string {
	for i := 0; i+1 < len(labels); i += 2 {
		name += ";" + labels[i] + "=" + labels[i+1]
	}
	return name
}

func gather(r gometrics.Registry) []*dto.MetricFamily {
	families := make(map[string]*dto.MetricFamily)
	r.Each(func(full string, m any) {
		kind, metric := convert(m)
		if metric == nil {
			return
		}
		name, labels := split(full)
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

func split(full string) (string, []*dto.LabelPair) {
	parts := strings.Split(full, ";")
	var labels []*dto.LabelPair
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		labels = append(labels, &dto.LabelPair{Name: &key, Value: &value})
	}
	return exposedName(parts[0]), labels
}

// namePrefix marks all metrics of the system.
const namePrefix = "hemlockvale_"

var notNameCharacter = regexp.MustCompile(`[^a-zA-Z0-9_:]`)

// exposedName turns a registry name, which may contain dots, into one that collectors accept.
func exposedName(name string) string {
	return namePrefix + strings.TrimPrefix(notNameCharacter.ReplaceAllString(name, "_"), namePrefix)
}

func convert(m any) (dto.MetricType, *dto.Metric) {
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
		return dto.MetricType_SUMMARY, summary(uint64(s.Count()), float64(s.Sum()), s.Percentiles(quantiles))
	}
	return dto.MetricType_UNTYPED, nil
}

func summary(count uint64, sum float64, values []float64) *dto.Metric {
	sum /= nanosecondsPerSecond
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i := range values {
		v := values[i] / nanosecondsPerSecond
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &v})
	}
	return &dto.Metric{Summary: s}
}
