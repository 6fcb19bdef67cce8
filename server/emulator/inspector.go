package emulator

import (
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 64 << 20
	// maxSightings is the length at which the list of sightings stops growing.
	maxSightings = 100
)

// keyHeaders and keyParameters are the headers and query parameters in which callers
// send API keys.
var (
	keyHeaders    = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}
	keyParameters = []string{"key", "api_key", "apikey", "access_token", "token"}
	// keyPattern matches bearer tokens and keys with a common prefix in any text.
	keyPattern = regexp.MustCompile(`(?i)\bbearer\s+[A-Za-z0-9._~+/=-]{8,}|\b(?:sk|hv|hvk|hk)[-_][A-Za-z0-9_-]{16,}`)
)

// InspectionReport is the response to GET /v1/seen. It reports where requests contained
// something that looks like a caller's API key, without the key itself.
type InspectionReport struct {
	// Requests is the number of inspected requests.
	Requests int `json:"requests"`
	// KeySeen is true if any request contained a key.
	KeySeen bool `json:"key_seen"`
	// Sightings lists the parts of requests that contained a key. It stops growing at
	// maxSightings.
	Sightings []string `json:"sightings,omitempty"`
	// Late is the number of requests that arrived more than LeaseDuration after the
	// target announced that it is leaving.
	Late int `json:"late"`
}

// requestInspector searches the requests that a target receives for API keys, and counts
// the requests that arrive late.
type requestInspector struct {
	mu sync.Mutex
	// knownKeys are the keys to look for besides those that match keyPattern.
	knownKeys []string
	report    InspectionReport
	// leftAt is the time at which the target announced that it is leaving.
	leftAt time.Time
}

// readBody reads the request's body and inspects the request. If the body cannot be
// read, it sends an error response and returns false.
func (i *requestInspector) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	i.inspect(r, body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return nil, false
	}
	return body, true
}

func (i *requestInspector) inspect(r *http.Request, body []byte) {
	var found []string
	for name, values := range r.Header {
		if slices.Contains(keyHeaders, name) || i.containsKey(strings.Join(values, "\n")) {
			found = append(found, "header "+name)
		}
	}
	for name, values := range r.URL.Query() {
		if slices.Contains(keyParameters, strings.ToLower(name)) || i.containsKey(strings.Join(values, "\n")) {
			found = append(found, "query "+name)
		}
	}
	if i.containsKey(r.URL.Path) {
		found = append(found, "path")
	}
	if i.containsKey(string(body)) {
		found = append(found, "body")
	}
	i.record(found)
}

func (i *requestInspector) containsKey(text string) bool {
	if keyPattern.MatchString(text) {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.knownKeys, func(secret string) bool { return strings.Contains(text, secret) })
}

func (i *requestInspector) record(found []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.report.Requests++
	if !i.leftAt.IsZero() && time.Since(i.leftAt) > LeaseDuration {
		i.report.Late++
	}
	if len(found) == 0 {
		return
	}
	i.report.KeySeen = true
	if len(i.report.Sightings) < maxSightings {
		i.report.Sightings = append(i.report.Sightings, found...)
	}
}

// addKey adds a key that must never reach the target.
func (i *requestInspector) addKey(secret string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.knownKeys = append(i.knownKeys, secret)
}

// leave starts counting late requests.
func (i *requestInspector) leave(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leftAt = now
}

func (i *requestInspector) snapshot() InspectionReport {
	i.mu.Lock()
	defer i.mu.Unlock()
	report := i.report
	report.Sightings = slices.Clone(i.report.Sightings)
	return report
}

func (i *requestInspector) handle(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, i.snapshot())
}
