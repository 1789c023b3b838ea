package burdocksite

import (
	"slices"
	"strings"
)

// Match returns the route of a request by its Host header and escaped path. Among the
// routes of the host it is the one with the longest matching path prefix. Hosts and paths
// match whichever of their equivalent forms the caller uses (RFC 3986, 6.2.2): case and
// final dot of a host, escapes of characters that need none in a path.
func (c *Config) Match(host, path string) (*Route, bool) {
	path = unescapeUnreserved(path)
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}

// indexRoutes builds the lookup map of Match.
func (c *Config) indexRoutes() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.prefix = unescapeUnreserved(r.Prefix)
		host := canonicalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
}

// canonicalHost returns a host in lower case, without port and final dot.
func canonicalHost(host string) string {
	if end := strings.IndexByte(host, ']'); strings.HasPrefix(host, "[") && end > 0 {
		return strings.ToLower(host[:end+1]) // an IPv6 address
	}
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}

// escapeLength is the length of a percent-encoded byte.
const escapeLength = 3

// unescapeUnreserved decodes the percent-encoded characters of a path that may stand
// without encoding. Any other escape is left: an encoded slash separates nothing.
func unescapeUnreserved(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if decoded, ok := unreservedAt(path, i); ok {
			b.WriteByte(decoded)
			i += escapeLength - 1
			continue
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

// unreservedAt returns the unreserved character that is percent-encoded at path[i]; false
// if there is none.
func unreservedAt(path string, i int) (byte, bool) {
	if path[i] != '%' || i+escapeLength > len(path) {
		return 0, false
	}
	high, ok1 := hexDigit(path[i+1])
	low, ok2 := hexDigit(path[i+2])
	c := high<<4 | low
	return c, ok1 && ok2 && isUnreserved(c)
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
