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

// Settings are the settings of the daemon, as defined by the settings schema.
type Settings = settings.Settings

// Option changes a default of New.
type Option func(*options)

type options struct {
	logOutput        io.Writer
	operators        func(*Entry) http.Handler
	membership       membership.Config
	backoff          logservice.Backoff // for reading the log
	hostListInterval time.Duration      // polling interval of the host list
	platformTimeout  time.Duration      // for one request to the platform
	addressKeep      time.Duration      // time for which callers keep addresses
	stopMargin       time.Duration      // additional time to serve callers after addressKeep
}

func defaultOptions(s Settings) options {
	return options{
		logOutput: os.Stderr, membership: membership.DefaultConfig(), hostListInterval: 2 * time.Second, platformTimeout: 3 * time.Second,
		addressKeep: time.Duration(s.AddressKeepSeconds) * time.Second, stopMargin: time.Second,
	}
}

// WithLog writes log lines to logOutput instead of the standard error output.
func WithLog(logOutput io.Writer) Option { return func(o *options) { o.logOutput = logOutput } }

// WithOperators sets the handler of the operators' port. build is called once, before the first request; the handler reads
// its data from Entry.State. Without this option, the port serves /metrics, /healthz and /readyz.
func WithOperators(build func(*Entry) http.Handler) Option {
	return func(o *options) { o.operators = build }
}

// ErrCut is returned by Run when the planned stop ended before all requests had finished.
var ErrCut = errors.New("requests were cut at the stop")
