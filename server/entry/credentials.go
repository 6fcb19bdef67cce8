package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
)

// credentialHeaders may hold a caller's credentials. They are never forwarded to a target.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie"}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Accept-Encoding",
}

// redactedSecret replaces the secret of a key in forwarded content.
const redactedSecret = "[redacted]"

// presentedSecrets returns the secrets of all keys that the request carries. The first
// one authenticates the request.
func presentedSecrets(h http.Header) []string {
	var secrets []string
	for _, value := range h.Values("Authorization") {
		scheme, token, found := strings.Cut(value, " ")
		if found && strings.EqualFold(scheme, "Bearer") {
			secrets = append(secrets, strings.TrimSpace(token))
		}
	}
	for _, value := range h.Values("X-Api-Key") {
		secrets = append(secrets, strings.TrimSpace(value))
	}
	nonEmpty := secrets[:0]
	for _, secret := range secrets {
		if secret != "" {
			nonEmpty = append(nonEmpty, secret)
		}
	}
	return nonEmpty
}

// forwardedHeaders returns a copy of the headers without credentials, hop-by-hop headers
// and headers that contain a secret.
func forwardedHeaders(h http.Header, secrets []string) http.Header {
	out := h.Clone()
	for _, connectionOptions := range h.Values("Connection") {
		for _, name := range strings.Split(connectionOptions, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range append(credentialHeaders, hopByHopHeaders...) {
		out.Del(name)
	}
	for name, values := range out {
		for _, value := range values {
			if containsSecret(value, secrets) || containsSecret(name, secrets) {
				out.Del(name)
				break
			}
		}
	}
	return out
}

// forwardedQuery returns the query without the parameters that contain a secret.
func forwardedQuery(raw string, secrets []string) string {
	values, err := url.ParseQuery(raw)
	if err != nil || len(secrets) == 0 {
		return values.Encode()
	}
	for name, params := range values {
		for _, value := range params {
			if containsSecret(value, secrets) || containsSecret(name, secrets) {
				values.Del(name)
				break
			}
		}
	}
	return values.Encode()
}

// forwardedBody returns the body with each secret replaced by redactedSecret.
func forwardedBody(body []byte, secrets []string) []byte {
	for _, secret := range secrets {
		body = bytes.ReplaceAll(body, []byte(secret), []byte(redactedSecret))
	}
	return body
}

func containsSecret(s string, secrets []string) bool {
	for _, secret := range secrets {
		if strings.Contains(s, secret) {
			return true
		}
	}
	return false
}
