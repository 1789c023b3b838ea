package burdockdirect

import (
	"net/url"
	"strings"
)

// originForm returns the path and query of a request target byte for byte. A target in
// absolute form names the host as well, which an upstream need not understand.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	at := strings.IndexAny(rest, "/?")
	switch {
	case at < 0:
		return "/"
	case rest[at] == '?':
		return "/" + rest[at:]
	}
	return rest[at:]
}

// targetPath returns the escaped path of a target in origin form.
func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// upstreamURL returns the URL that makes net/http send a target as it is.
func upstreamURL(address, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Opaque: target}
	if !strings.HasPrefix(target, "//") {
		return u
	}
	// As Opaque, it would be sent with the scheme in front, as if it began with a host.
	path, query, hasQuery := strings.Cut(target, "?")
	u.Opaque, u.RawPath, u.RawQuery, u.ForceQuery = "", path, query, hasQuery && query == ""
	var err error
	if u.Path, err = url.PathUnescape(path); err != nil {
		u.Path = path // unreachable: net/http has parsed it
	}
	return u
}
