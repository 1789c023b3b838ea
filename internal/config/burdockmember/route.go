package burdockmember

import (
	pathpkg "path"
	"slices"
	"strings"
)

// Matches reports whether a request matches the route. The prefix matches whole path
// segments only: /job doesn't match /jobs.
func (r Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.PathPrefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// FindRoute returns the service and route of a request: the matching route with the
// longest prefix. The path must be decoded.
//
// A path with a "..", "." or empty segment has no route. An upstream may resolve
// /jobs/../letters to /letters: the request then runs there, but it is classified, and
// perhaps retried, by the rules of /jobs.
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

// IsClean reports whether a path is absolute and has no "..", "." or empty segment. A
// trailing slash is allowed.
func IsClean(path string) bool {
	cleaned := pathpkg.Clean(path)
	return strings.HasPrefix(path, "/") && (path == cleaned || cleaned != "/" && path == cleaned+"/")
}
