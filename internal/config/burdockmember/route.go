package burdockmember

import (
	pathpkg "path"
	"slices"
	"strings"
)

// Matches reports whether a call belongs to the route. The prefix ends at a
// "/", so that /job does not take in /jobs.
func (r Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.PathPrefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// FindRoute returns the service and route of a call: of those that match, the
// one with the longest prefix. The path is the decoded one.
//
// A path with "..", "." or an empty part has no route. An upstream that
// resolves /jobs/../letters would run a call of /letters, while the call was
// treated as one of /jobs and may have been repeated.
func (f Fleet) FindRoute(method, path string) (Service, Route, bool) {
	if !IsClean(path) {
		return Service{}, Route{}, false
	}
	var service Service
	var route Route
	found := false
	for _, s := range f.Services {
		for _, r := range s.Routes {
			if r.Matches(method, path) && (!found || len(r.PathPrefix) > len(route.PathPrefix)) {
				service, route, found = s, r, true
			}
		}
	}
	return service, route, found
}

// IsClean reports whether a path has no "..", "." or empty part. A slash at its
// end is no such part.
func IsClean(path string) bool {
	clean := pathpkg.Clean(path)
	return strings.HasPrefix(path, "/") && (path == clean || clean != "/" && path == clean+"/")
}
