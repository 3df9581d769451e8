package load

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"boragehinge.example/boragehinge/inventory"
)

// Kind is one kind of call.
type Kind struct {
	Name       string
	Class      string // empty: the class of the route
	Method     string
	Path       string // {n} is replaced by the number of the call
	Idempotent bool
	Share      float64 // weight among the kinds
	BodyBytes  int     // of the request
	// DownloadBytes is the size of the response; the path is then that of the emulator's archive.
	DownloadBytes int64
	Deadline      time.Duration
}

// Options of a run.
type Options struct {
	Service   string
	Entries   []string // callers' ports
	Upstreams []string // addresses of the service's upstreams, for direct calls and execution records
	Direct    bool     // sends the calls to the upstreams, in turn, instead of the entries
	Kinds     []Kind
	Customers []string
	Rate      float64 // calls per second
	WarmUp    time.Duration
	Duration  time.Duration // after the warm-up
	Calls     int           // largest number of calls after the warm-up; 0 is unlimited
	MaxOpen   int           // calls open at a time; further ones are counted as not sent
	Seed      uint64
	Records   bool // reads the execution records of the upstreams
}

// Limits of the options.
const (
	maxRate        = 200_000
	defaultMaxOpen = 20_000
)

func (o *Options) check() error {
	var errs []error
	add := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if o.Rate <= 0 || o.Rate > maxRate {
		add("the rate must be above 0 and at most %d calls/s, but is %g", maxRate, o.Rate)
	}
	if o.Duration <= 0 || o.WarmUp < 0 || o.Calls < 0 {
		add("the duration must be positive, the warm-up and the number of calls must not be negative")
	}
	if len(o.Kinds) == 0 {
		add("no kind of call is given")
	}
	sum := 0.0
	for _, k := range o.Kinds {
		if k.Share < 0 || !strings.HasPrefix(k.Path, "/") {
			add("kind %s: the share must not be negative and the path must start with /", k.Name)
		}
		sum += k.Share
	}
	if sum <= 0 && len(o.Kinds) > 0 {
		add("the shares of all kinds are 0")
	}
	if o.Direct && len(o.Upstreams) == 0 {
		add("direct calls need the addresses of upstreams")
	}
	if !o.Direct && len(o.Entries) == 0 {
		add("no entry is given")
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = defaultMaxOpen
	}
	return errors.Join(errs...)
}

// ParseKind reads a kind from pairs such as name=orders,method=POST,path=/bench/orders/{n},share=2,idempotent=false.
func ParseKind(text string) (Kind, error) {
	k := Kind{Method: http.MethodGet, Share: 1, Idempotent: true}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return k, fmt.Errorf("%q is not a pair name=value", pair)
		}
		if err := k.set(strings.TrimSpace(name), value); err != nil {
			return k, fmt.Errorf("%s: %w", name, err)
		}
	}
	if k.Name == "" {
		k.Name = k.Method + " " + k.Path
	}
	return k, nil
}

func (k *Kind) set(name, value string) (err error) {
	switch name {
	case "name":
		k.Name = value
	case "class":
		k.Class = value
	case "method":
		k.Method = strings.ToUpper(value)
	case "path":
		k.Path = value
	case "idempotent":
		k.Idempotent, err = strconv.ParseBool(value)
	case "share":
		k.Share, err = strconv.ParseFloat(value, 64)
	case "body":
		k.BodyBytes, err = strconv.Atoi(value)
	case "download":
		k.DownloadBytes, err = strconv.ParseInt(value, 10, 64)
		if k.Path == "" {
			k.Path = fmt.Sprintf("/archive/%d", k.DownloadBytes)
		}
	case "deadline":
		k.Deadline, err = time.ParseDuration(value)
	default:
		err = errors.New("is none of name, class, method, path, idempotent, share, body, download and deadline")
	}
	return err
}

// KindsOf returns one kind per route of a service, with equal shares. A service without routes gets its default route.
func KindsOf(service *inventory.Service) []Kind {
	routes := service.Routes
	if len(routes) == 0 {
		routes = []inventory.Route{service.DefaultRoute}
	}
	var out []Kind
	for _, r := range routes {
		method := http.MethodGet
		if len(r.Methods) > 0 {
			method = r.Methods[0]
		}
		out = append(out, Kind{
			Name: r.Name, Method: method, Path: strings.TrimSuffix(r.PathPrefix, "/") + "/{n}", Share: 1,
			Idempotent: r.Idempotent(method),
		})
	}
	return out
}
