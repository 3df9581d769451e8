package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Report says how truthful the load report is.
type Report string

// Kinds of load reports.
const (
	ReportTrue   Report = "true"   // the default
	ReportFrozen Report = "frozen" // repeats the report that was sent when the switch was set, sequence number included
	ReportIdle   Report = "idle"   // always claims an idle, warm server
	ReportNone   Report = "none"   // no header
)

// Faults are the switches of a Server. The zero value is a healthy server.
type Faults struct {
	Report        Report             `json:"report,omitempty"`
	Draining      bool               `json:"draining,omitempty"`      // refuses new requests as not run
	Shed          bool               `json:"shed,omitempty"`          // the same, without saying that it drains
	SlowFactor    float64            `json:"slowFactor,omitempty"`    // on service times, 0 means 1
	FailRoutes    map[string]float64 `json:"failRoutes,omitempty"`    // path prefix to share of 500 responses
	FailInFlight  int                `json:"failInFlight,omitempty"`  // 500 responses while more requests run; 0 means never
	FailFast      bool               `json:"failFast,omitempty"`      // failures take no service time
	CrashOn       string             `json:"crashOn,omitempty"`       // crash on a request whose ID or path contains this
	CrashDownMs   int                `json:"crashDownMs,omitempty"`   // time until the server listens again, 500
	TruncateOn    string             `json:"truncateOn,omitempty"`    // end the body early on a path that contains this
	SilenceOpen   bool               `json:"silenceOpen,omitempty"`   // when set, the open connections go silent for good
	BecomeCold    bool               `json:"becomeCold,omitempty"`    // when set, the server is cold again
	NoNotRunProof bool               `json:"noNotRunProof,omitempty"` // refusals lack the not-run header
}

const defaultCrashDown = 500 * time.Millisecond

func (f *Faults) crashDown() time.Duration {
	if f.CrashDownMs <= 0 {
		return defaultCrashDown
	}
	return time.Duration(f.CrashDownMs) * time.Millisecond
}

func (f *Faults) crashes(id, path string) bool {
	return f.CrashOn != "" && (strings.Contains(id, f.CrashOn) || strings.Contains(path, f.CrashOn))
}

func (f *Faults) truncates(path string) bool {
	return f.TruncateOn != "" && strings.Contains(path, f.TruncateOn)
}

// failShare returns the share of failures of a path; the longest matching prefix wins.
func (f *Faults) failShare(path string) float64 {
	longest, share := -1, 0.0
	for prefix, s := range f.FailRoutes {
		if strings.HasPrefix(path, prefix) && len(prefix) > longest {
			longest, share = len(prefix), s
		}
	}
	return share
}

func (f *Faults) validate() error {
	switch f.Report {
	case "", ReportTrue, ReportFrozen, ReportIdle, ReportNone:
	default:
		return fmt.Errorf("report: %q is not a kind of load report", f.Report)
	}
	if f.SlowFactor < 0 {
		return fmt.Errorf("slowFactor: %v is negative", f.SlowFactor)
	}
	for prefix, share := range f.FailRoutes {
		if share < 0 || share > 1 {
			return fmt.Errorf("failRoutes: the share of %q is not between 0 and 1", prefix)
		}
	}
	return nil
}

// Faults returns the switches.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// SetFaults replaces all switches. SilenceOpen and BecomeCold take effect once, at this call.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	if f.Report == ReportFrozen {
		frozen := s.trueReport()
		s.frozen.Store(&frozen)
	}
	s.faults.Store(&f)
	if f.SilenceOpen {
		s.conns.silence()
	}
	if f.BecomeCold {
		s.MakeCold()
	}
	return nil
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut, http.MethodPost:
		var f Faults
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		dec.DisallowUnknownFields()
		err := dec.Decode(&f)
		if err == nil {
			err = s.SetFaults(f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, s.Faults())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
