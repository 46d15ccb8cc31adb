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

// readService reads the request and fills in the demand.
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
	if err := r.readBody(w, req, x); err != nil {
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

// retryReason says how the request may be repeated.
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

// setPath takes the part after the service as the target's path.
func setPath(req *http.Request, x *filter.Exchange) error {
	rest := strings.TrimPrefix(req.URL.EscapedPath(), servicesPrefix)
	_, rest, _ = strings.Cut(rest, "/")
	x.URI = "/" + rest
	decoded, err := url.PathUnescape(x.URI)
	if err != nil {
		return invalid(x, http.StatusBadRequest, "bad-path", "the path is not escaped as it should be")
	}
	if hasDotSegment(decoded) {
		// A target could resolve it to a path with another declaration.
		return invalid(x, http.StatusBadRequest, "bad-path", "the path has dot segments")
	}
	x.Path = collapseSlashes(decoded)
	if req.URL.RawQuery != "" {
		x.URI += "?" + req.URL.RawQuery
	}
	return nil
}

// collapseSlashes joins repeated slashes, which most servers hold equal to one.
func collapseSlashes(p string) string {
	for strings.Contains(p, "//") {
		p = strings.ReplaceAll(p, "//", "/")
	}
	return p
}

// hasDotSegment tells whether a target may resolve p to another path.
func hasDotSegment(p string) bool {
	for segment := range strings.SplitSeq(strings.ReplaceAll(p, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// idempotent tells whether every target of the service holds x idempotent, by
// method or declaration.
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

// idempotentAt tells whether target t holds x idempotent.
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

// idempotentMethod tells whether HTTP defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// routeMatches tells whether the declaration is about x. Those that permit repeats
// match whole segments only; the others any path with the prefix.
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

// moreSpecific tells whether a says more than b: the longer prefix, then the named
// method, then the one that permits no repeats.
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
