package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

func faultsOff(w *world) standin.Faults {
	f := w.platform.Faults()
	f.LogOutage, f.HostsOutage = false, false
	return f
}

// Guards against an outage of the log that stops serving, against a new entry that needs the log although its peers hold
// the configuration, and against a lone entry that serves without a proven configuration or doesn't say why.
func TestLogOutage(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1")}
	w.settled(list...)
	f := w.platform.Faults()
	f.LogOutage = true
	w.platform.SetFaults(f)
	for range 10 {
		w.call(list[0], http.MethodGet, "/x", nil).assertDone(t)
	}
	list = append(list, w.entry("e3", "dc-1"))
	w.settled(list...)
	w.call(list[2], http.MethodGet, "/x", nil).assertDone(t)

	for _, e := range list {
		e.kill()
	}
	lone := w.entry("e4", "dc-1")
	w.eventually("the reason names the log", func() bool {
		ok, why := lone.Ready()
		return !ok && strings.Contains(why, "log can't be read") && strings.Contains(why, "peer answers")
	})
	got := w.call(lone, http.MethodGet, "/x", nil)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "not-run", got.outcome)
	assert.Equal(t, reasonNotReady, got.reason)

	w.platform.SetFaults(faultsOff(w))
	w.settled(lone)
	w.call(lone, http.MethodGet, "/x", nil).assertDone(t)
}
