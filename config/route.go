package config

import "strings"

// UnmatchedRoute applies to requests that no route matches. It is non-idempotent, because
// executing an unknown request twice may be unsafe.
var UnmatchedRoute = Route{Method: "*", PathPrefix: "/", Class: Normal}

// RouteFor returns the route of a request: the one with the longest prefix of whole path
// segments and, among equal prefixes, the one with an explicit method. It does not
// allocate.
func (s *Service) RouteFor(method, path string) *Route {
	best := &UnmatchedRoute
	found := false
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method != "*" && r.Method != method || !underPrefix(path, r.PathPrefix) {
			continue
		}
		longer := len(r.PathPrefix) - len(best.PathPrefix)
		if !found || longer > 0 || longer == 0 && r.Method != "*" {
			best, found = r, true
		}
	}
	return best
}

// underPrefix reports whether path equals prefix or is a subpath of it.
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
