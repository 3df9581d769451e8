package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/settings"
)

// Settings are the settings of the daemon, as the schema of settings defines them.
type Settings = settings.Settings

// Option changes a default of New.
type Option func(*options)

type options struct {
	out        io.Writer
	operators  func(*Entry) http.Handler
	membership membership.Config
	backoff    logservice.Backoff // of reads of the log
	hostsEvery time.Duration      // interval of reads of the host list
	timeout    time.Duration      // of one request to the platform
	keep       time.Duration      // time for which callers keep addresses
	stopMargin time.Duration      // served longer than callers keep addresses
}

func defaultOptions(s Settings) options {
	return options{
		out: os.Stderr, membership: membership.DefaultConfig(), hostsEvery: 2 * time.Second, timeout: 3 * time.Second,
		keep: time.Duration(s.AddressKeepSeconds) * time.Second, stopMargin: time.Second,
	}
}

// WithLog sends log lines to out instead of the standard error output.
func WithLog(out io.Writer) Option { return func(o *options) { o.out = out } }

// WithOperators sets the handler of the operators' port. It is built once, before the first request; State gives it what
// it shows. Without it, the port serves /metrics, /healthz and /readyz.
func WithOperators(build func(*Entry) http.Handler) Option {
	return func(o *options) { o.operators = build }
}

// ErrCut is returned by Run when the planned stop ended before all requests did.
var ErrCut = errors.New("requests were cut at the stop")
