package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
)

// keyHeaders may carry a caller's key and never reach a target.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie"}

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Accept-Encoding",
}

// redacted replaces a key inside forwarded content.
const redacted = "[redacted]"

// presentedKeys returns every key that the request carries; the first one authenticates it.
func presentedKeys(h http.Header) []string {
	var keys []string
	for _, value := range h.Values("Authorization") {
		scheme, token, found := strings.Cut(value, " ")
		if found && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(token))
		}
	}
	for _, value := range h.Values("X-Api-Key") {
		keys = append(keys, strings.TrimSpace(value))
	}
	present := keys[:0]
	for _, key := range keys {
		if key != "" {
			present = append(present, key)
		}
	}
	return present
}

// forwardedHeaders copies the headers that a target may see.
func forwardedHeaders(h http.Header, keys []string) http.Header {
	out := h.Clone()
	for _, connectionOption := range h.Values("Connection") {
		for _, name := range strings.Split(connectionOption, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range append(keyHeaders, hopHeaders...) {
		out.Del(name)
	}
	for name, values := range out {
		for _, value := range values {
			if containsKey(value, keys) || containsKey(name, keys) {
				out.Del(name)
				break
			}
		}
	}
	return out
}

// forwardedQuery drops the parameters that carry a key.
func forwardedQuery(raw string, keys []string) string {
	values, err := url.ParseQuery(raw)
	if err != nil || len(keys) == 0 {
		return values.Encode()
	}
	for name, list := range values {
		for _, value := range list {
			if containsKey(value, keys) || containsKey(name, keys) {
				values.Del(name)
				break
			}
		}
	}
	return values.Encode()
}

// forwardedBody replaces keys inside a body.
func forwardedBody(body []byte, keys []string) []byte {
	for _, key := range keys {
		body = bytes.ReplaceAll(body, []byte(key), []byte(redacted))
	}
	return body
}

func containsKey(s string, keys []string) bool {
	for _, key := range keys {
		if strings.Contains(s, key) {
			return true
		}
	}
	return false
}
