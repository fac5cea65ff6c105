package config

import "strings"

// UnmatchedRoute is the treatment of a request that no route matches. Running such a
// request twice could do harm, so it counts as non-idempotent.
var UnmatchedRoute = Route{Method: "*", PathPrefix: "/", Class: Normal}

// RouteFor returns the treatment of a request: the route with the longest prefix of
// whole path segments, and among equal prefixes the one that names the method. It
// does not allocate.
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

// underPrefix reports whether path equals prefix or lies below it.
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
