// Package routing defines the configuration of a deployment as one versioned
// document with routes, services, organisations and limits. It validates the
// document and builds a Table from it, which determines the route and the
// organisation of a request.
//
// A Table is immutable, so each request is handled according to a single version.
package routing

import "time"

// Kind determines how often a request of a route may run.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events. They are not idempotent
	// unless the route is resumable.
	Streaming Kind = "streaming"
)

// Configuration is one version of the configuration document.
type Configuration struct {
	// Version orders configurations; the highest version is in force.
	Version int64 `json:"version"`
	// Routes maps requests to services.
	Routes []Route `json:"routes"`
	// Services lists the services that routes refer to.
	Services []Service `json:"services"`
	// Organisations lists the owners of API keys and their rate limits. If it is
	// empty, requests need no key.
	Organisations []Organisation `json:"organisations,omitempty"`
	// Limits bounds what a caller may send.
	Limits Limits `json:"limits"`
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Host is the host name that a request must have, in any letter case.
	Host string `json:"host"`
	// PathPrefix starts and ends with a slash; the longest matching prefix wins.
	PathPrefix string `json:"path_prefix"`
	// Kind determines how often a request may run.
	Kind Kind `json:"kind"`
	// TimeoutMS is the maximum duration of a request, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// TargetLatencyMS is the latency objective, in milliseconds.
	TargetLatencyMS int64 `json:"target_latency_ms"`
	// MaxGapMS is the maximum time between two events of a stream, in milliseconds.
	MaxGapMS int64 `json:"max_gap_ms,omitempty"`
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Destinations lists the services that share the requests by weight.
	Destinations []Destination `json:"destinations"`
	// MaxAttempts is the maximum number of targets that may receive one request.
	MaxAttempts int `json:"max_attempts"`
	// Public is set if requests need no API key.
	Public bool `json:"public,omitempty"`
	// Resumable is set if a stream can be continued at another target after a given
	// event id.
	Resumable bool `json:"resumable,omitempty"`
	// RetentionSeconds is how long a program's budget, and its history on a route with
	// KeepsHistory, are remembered after its last turn.
	RetentionSeconds float64 `json:"retention_s,omitempty"`
	// KeepsHistory is set if a request may name an earlier one, whose history the target
	// then receives before the body.
	KeepsHistory bool `json:"keeps_history,omitempty"`
	// Sticky is set if targets answer faster when they have handled the same object recently,
	// so that requests with the same affinity key should get the same target.
	Sticky bool `json:"sticky,omitempty"`
}

// Retention returns RetentionSeconds, rounded to whole seconds.
func (r *Route) Retention() time.Duration {
	return time.Duration(r.RetentionSeconds+0.5) * time.Second
}

// Timeout returns TimeoutMS as a duration.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Destination is a service with its share of a route's requests.
type Destination struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the share of the service, relative to the other destinations of the
	// route.
	Weight float64 `json:"weight"`
}

// Service is a set of interchangeable targets.
type Service struct {
	// Name identifies the service.
	Name string `json:"name"`
	// HealthPath is the URL path of the targets' health check.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the maximum number of connections that each target accepts
	// from all VMs together; 0 means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStartSeconds is how long a target stays cold after its start, and ColdPerSecond the
	// number of requests per second that a cold target accepts from all VMs together; 0 means
	// no limit.
	ColdStartSeconds float64 `json:"cold_start_s,omitempty"`
	ColdPerSecond    float64 `json:"cold_per_s,omitempty"`
	// Engine describes the model engines of the service; it is nil for plain
	// services.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine holds the properties of the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots"`
	// KVCapacity is the size of the engine's KV cache in tokens.
	KVCapacity int64 `json:"kv_capacity"`
	// TokensPerEvent is the number of tokens that each event of a stream counts for.
	TokensPerEvent int64 `json:"tokens_per_event"`
}

// Organisation is an owner of API keys, with a rate limit that applies to all VMs
// together.
type Organisation struct {
	// Name identifies the organisation to targets.
	Name string `json:"name"`
	// Keys lists the secret API keys that callers present.
	Keys []string `json:"keys"`
	// Priority overrides the priority of the route, if it is set.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond is the sustained number of requests per second, and Burst the
	// number of requests that may exceed it at once. A rate of 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Limits bounds what a caller may send; 0 means no limit.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the sizes of a request's header and
	// body, in bytes.
	MaxHeaderBytes int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64 `json:"max_body_bytes,omitempty"`
	// HeaderTimeoutMS is the maximum time for receiving a request header, in
	// milliseconds.
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMS is how long a caller's connection may be idle, in milliseconds.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty"`
}
