package router

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const servicesPrefix = "/v1/services/"

// serveService serves ANY /v1/services/{service}/{path...}.
func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	if err := r.readService(w, req, x); err != nil {
		r.refuse(w, req, x, err)
		return
	}
	r.serve(w, req, x)
}

// readService reads the request and fills in x.Demand.
func (r *Router) readService(w http.ResponseWriter, req *http.Request, x *filter.Exchange) error {
	service, err := url.PathUnescape(mux.Vars(req)["service"])
	if err != nil || service == "" {
		return invalid(x, http.StatusBadRequest, "bad-service", "the path names no service")
	}
	if req.Method == http.MethodConnect || req.Method == http.MethodTrace {
		return invalid(x, http.StatusMethodNotAllowed, "bad-method", req.Method+" is not forwarded")
	}
	if err := setPath(req, x); err != nil {
		return err
	}
	x.Demand.Service = service
	if err := readKey(req, x); err != nil {
		return err
	}
	if _, err := r.readBody(w, req, x); err != nil {
		return err
	}
	if err := readTimeout(req, x); err != nil {
		return err
	}
	if err := readPriority(req, x, filter.ClassCheck); err != nil {
		return err
	}
	x.Idempotent = r.idempotent(x)
	x.AddReason(stepRead, "", retryReason(x))
	return nil
}

// retryReason returns the recorded reason why the request may or may not be
// retried.
func retryReason(x *filter.Exchange) string {
	switch {
	case x.Idempotent:
		return "idempotent by method or declaration: may be tried again"
	case x.Key != "":
		return "not idempotent, with a key: to be claimed"
	default:
		return "not idempotent, without a key: sent at most once"
	}
}

// setPath sets the target's URI to the part of the path after the service name.
func setPath(req *http.Request, x *filter.Exchange) error {
	rest := strings.TrimPrefix(req.URL.EscapedPath(), servicesPrefix)
	_, rest, _ = strings.Cut(rest, "/")
	x.URI = "/" + rest
	decoded, err := url.PathUnescape(x.URI)
	if err != nil {
		return invalid(x, http.StatusBadRequest, "bad-path", "the path has an invalid percent-encoding")
	}
	if hasDotSegment(decoded) {
		// A target could resolve the dot segments to a path for which another
		// route is declared.
		return invalid(x, http.StatusBadRequest, "bad-path", "the path has dot segments")
	}
	x.Path = collapseSlashes(decoded)
	if req.URL.RawQuery != "" {
		x.URI += "?" + req.URL.RawQuery
	}
	return nil
}

// collapseSlashes replaces repeated slashes by one, as most servers treat them.
func collapseSlashes(p string) string {
	for strings.Contains(p, "//") {
		p = strings.ReplaceAll(p, "//", "/")
	}
	return p
}

// hasDotSegment reports whether p has a segment "." or "..", which a target may
// resolve to another path. Backslashes count as slashes.
func hasDotSegment(p string) bool {
	for segment := range strings.SplitSeq(strings.ReplaceAll(p, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// idempotent reports whether x is idempotent at every target of the service, by
// a declared route or else by its method.
func (r *Router) idempotent(x *filter.Exchange) bool {
	found := false
	for _, t := range r.cfg.View.Targets() {
		if t.GetService() != x.Demand.Service {
			continue
		}
		found = true
		if !idempotentAt(t, x) {
			return false
		}
	}
	return found || idempotentMethod(x.Method)
}

// idempotentAt reports whether x is idempotent at target t. The most specific
// matching route decides; without one the HTTP method does. Chats are always
// idempotent.
func idempotentAt(t *pb.TargetStatus, x *filter.Exchange) bool {
	if x.Demand.Service == "" {
		return true
	}
	var best *pb.Route
	for _, route := range t.GetRoutes() {
		if routeMatches(route, x) && moreSpecific(route, best) {
			best = route
		}
	}
	if best == nil {
		return idempotentMethod(x.Method)
	}
	return best.GetIdempotent()
}

// idempotentMethod reports whether HTTP defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// routeMatches reports whether the declared route applies to x. A route that is
// declared idempotent matches complete path segments only; any other route
// matches each path with its prefix. A wrong match can thus only forbid a retry.
func routeMatches(route *pb.Route, x *filter.Exchange) bool {
	if route.GetMethod() != "" && !strings.EqualFold(route.GetMethod(), x.Method) {
		return false
	}
	prefix := route.GetPathPrefix()
	rest, ok := strings.CutPrefix(x.Path, prefix)
	if !ok {
		return false
	}
	if !route.GetIdempotent() {
		return true
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/")
}

// moreSpecific reports whether route a takes precedence over b: the longer prefix
// wins, then the route with a method, then the one that is not idempotent.
func moreSpecific(a, b *pb.Route) bool {
	switch {
	case b == nil:
		return true
	case len(a.GetPathPrefix()) != len(b.GetPathPrefix()):
		return len(a.GetPathPrefix()) > len(b.GetPathPrefix())
	case (a.GetMethod() != "") != (b.GetMethod() != ""):
		return a.GetMethod() != ""
	default:
		return !a.GetIdempotent()
	}
}
