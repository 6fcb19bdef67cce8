package target

import "strings"

const hexDigits = "0123456789ABCDEF"

// CacheKey returns the key under which an engine caches a program's prefix:
// organisation/id. Bytes that are not allowed in a header value, the percent sign
// and a slash in the organisation are percent-encoded, so that two programs never
// share a key.
func CacheKey(organisation, id string) string {
	var b strings.Builder
	escape(&b, organisation, "/")
	b.WriteByte('/')
	escape(&b, id, "")
	return b.String()
}

func escape(b *strings.Builder, s, reserved string) {
	for i := range len(s) {
		c := s[i]
		if c > ' ' && c < 0x7f && c != '%' && strings.IndexByte(reserved, c) < 0 {
			b.WriteByte(c)
			continue
		}
		b.WriteByte('%')
		b.WriteByte(hexDigits[c>>4])
		b.WriteByte(hexDigits[c&0xf])
	}
}
