package instance

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const metricsInterval = time.Second

// newMetrics returns the root scope of an instance, the handler of its metrics page and
// the closer that stops reporting. Each instance has its own registry, so that several
// instances can run in one process.
func newMetrics(id string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "wigeonwood",
		Tags:            map[string]string{"instance": id},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}
