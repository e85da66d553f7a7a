package routing

import (
	"strings"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/operator"
)

func newServiceTable(svc *operator.Service, view *ownership.ServiceView) *serviceTable {
	t := &serviceTable{routes: make(map[string]map[string]*Route, len(svc.Routes)), view: view}
	for i := range svc.Routes {
		r := &svc.Routes[i]
		route := &Route{
			Service:           entity.ServiceName(svc.Name),
			Path:              r.Path,
			Idempotent:        r.Kind == operator.RouteIdempotent,
			Internal:          r.Access != operator.AccessOpen,
			MaxBody:           r.MaxBody,
			MaxRun:            svc.MaxRun,
			CutoffHold:        svc.CutoffHold,
			IdempotencyWindow: svc.IdempotencyWindow,
		}
		if t.routes[r.Path] == nil {
			t.routes[r.Path] = map[string]*Route{}
		}
		for _, method := range r.Methods {
			t.routes[r.Path][method] = route
		}
		if r.Path != "/" {
			t.depth = max(t.depth, strings.Count(r.Path, "/"))
		}
	}
	return t
}

// Route returns the route of a request with a caller's path /<service>/<path…>, which must already be unescaped. The result
// rest is the path inside the service, which begins with a slash.
//
// The longest route path that is a prefix of whole segments is used, and its route must allow the method: a shorter path is not
// tried for another method, since its access could differ. Paths with empty, . or .. segments are refused, since a backend
// could resolve them to a path of another route.
func (s *Snapshot) Route(method, path string) (route *Route, rest string, ok bool) {
	table, rest, ok := s.split(path)
	if !ok {
		return nil, "", false
	}
	methods := table.routes["/"]
	end := 0
	for range table.depth {
		if end >= len(rest) {
			break
		}
		end = segmentEnd(rest, end)
		if found, ok := table.routes[rest[:end]]; ok {
			methods = found
		}
	}
	route, ok = methods[method]
	if !ok {
		return nil, "", false
	}
	return route, rest, true
}

// HasService reports whether the first segment of a caller's path names a service. It is used to distinguish an unknown service
// from an unknown route in a refusal.
func (s *Snapshot) HasService(path string) bool {
	_, _, ok := s.split(path)
	return ok
}

// split returns the service of a caller's path and the path inside it.
func (s *Snapshot) split(path string) (table *serviceTable, rest string, ok bool) {
	if !strings.HasPrefix(path, "/") {
		return nil, "", false
	}
	end := segmentEnd(path, 0)
	table, ok = s.services[path[1:end]]
	rest = path[end:]
	if rest == "" {
		rest = "/"
	}
	if !ok || !hasPlainSegments(rest) {
		return nil, "", false
	}
	return table, rest, true
}

// segmentEnd returns the end of the segment whose leading slash is at start.
func segmentEnd(path string, start int) int {
	if i := strings.IndexByte(path[start+1:], '/'); i >= 0 {
		return start + 1 + i
	}
	return len(path)
}

// hasPlainSegments reports whether a path has no empty, . or .. segment, except an empty last one.
func hasPlainSegments(path string) bool {
	for start := 0; start < len(path); {
		end := segmentEnd(path, start)
		switch path[start+1 : end] {
		case ".", "..":
			return false
		case "":
			if end != len(path) {
				return false
			}
		}
		start = end
	}
	return true
}
