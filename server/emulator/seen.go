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
	// maxBodyBytes bounds one request body.
	maxBodyBytes = 64 << 20
	// maxSightings bounds the list of sightings.
	maxSightings = 100
)

// keyHeaders and keyParameters are where callers put their keys.
var (
	keyHeaders    = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}
	keyParameters = []string{"key", "api_key", "apikey", "access_token", "token"}
	// keyPattern matches bearer tokens and prefixed secrets in any text.
	keyPattern = regexp.MustCompile(`(?i)\bbearer\s+[A-Za-z0-9._~+/=-]{8,}|\b(?:sk|hv|hvk|hk)[-_][A-Za-z0-9_-]{16,}`)
)

// Seen is the answer to GET /v1/seen: where a target saw something that looks
// like a caller's key. The text itself is not repeated.
type Seen struct {
	Requests  int      `json:"requests"`
	KeySeen   bool     `json:"key_seen"`
	Sightings []string `json:"sightings,omitempty"`
	// Late counts requests that arrived longer than a lease after the target
	// announced that it leaves.
	Late int `json:"late"`
}

// keyWatch inspects every request that a target receives.
type keyWatch struct {
	mu sync.Mutex
	// known are secrets that a test has issued.
	known []string
	seen  Seen
	left  time.Time
}

// read returns the request's body and inspects the whole request.
func (k *keyWatch) read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	k.inspect(r, body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return nil, false
	}
	return body, true
}

func (k *keyWatch) inspect(r *http.Request, body []byte) {
	var found []string
	for name, values := range r.Header {
		if slices.Contains(keyHeaders, name) || k.matches(strings.Join(values, "\n")) {
			found = append(found, "header "+name)
		}
	}
	for name, values := range r.URL.Query() {
		if slices.Contains(keyParameters, strings.ToLower(name)) || k.matches(strings.Join(values, "\n")) {
			found = append(found, "query "+name)
		}
	}
	if k.matches(r.URL.Path) {
		found = append(found, "path")
	}
	if k.matches(string(body)) {
		found = append(found, "body")
	}
	k.record(found)
}

func (k *keyWatch) matches(text string) bool {
	if keyPattern.MatchString(text) {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.known, func(secret string) bool { return strings.Contains(text, secret) })
}

func (k *keyWatch) record(found []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen.Requests++
	if !k.left.IsZero() && time.Since(k.left) > LeaseDuration {
		k.seen.Late++
	}
	if len(found) == 0 {
		return
	}
	k.seen.KeySeen = true
	if len(k.seen.Sightings) < maxSightings {
		k.seen.Sightings = append(k.seen.Sightings, found...)
	}
}

// addKey adds a secret that the target must never see.
func (k *keyWatch) addKey(secret string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known = append(k.known, secret)
}

// leave starts the count of late requests.
func (k *keyWatch) leave(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = now
}

func (k *keyWatch) snapshot() Seen {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.seen
	seen.Sightings = slices.Clone(k.seen.Sightings)
	return seen
}

func (k *keyWatch) handle(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.snapshot())
}
