//go:build linux

package processtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

// leavingBound is the time after which a leaving data centre receives no new work.
const leavingBound = 5 * time.Second

// Guards against a data centre that goes on receiving calls after the urgent command while the log is out, against an
// entry that forgets the command with a restart, and against a return that no configuration ordered.
func TestUrgentLeavingWithoutLog(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{Slots: 4})
	w.upstream("u2", emulator.Config{Slots: 4})
	one, two := target{"u1", "dc-1", "1"}, target{"u2", "dc-2", "1"}
	w.apply(w.inventory("", one, two))
	list := append(w.entries("dc-1", "e1", "e2"), w.entries("dc-2", "f1", "f2")...)
	w.settled(list...)
	l := w.newLoad()
	l.idempotent(2, list[:2])
	l.idempotent(2, list[2:]) // their nearest pool is the one that leaves
	l.more(50)
	w.eventually("both data centres are in use", func() bool { return w.begun("u1") > 0 && w.begun("u2") > 0 })
	w.faults(func(f *standin.Faults) { f.LogOutage = true })
	status, output := w.command("leave", "dc-2", "--reason", "test", "--operators", list[0].operators)
	assert.Zero(t, status, output)
	time.Sleep(leavingBound)
	before := w.begun("u2")
	l.more(50)
	list[3].kill()
	list[3] = w.run(list[3].host)
	w.settled(list...)
	l.more(200)
	assert.Equal(t, before, w.begun("u2"), "the data centre received new work")

	w.faults(func(f *standin.Faults) { f.LogOutage = false })
	w.apply(w.inventory("rules:\n  dataCentres: [{dataCentre: dc-2, state: active}]\n", one, two))
	w.settled(list...)
	w.eventually("the data centre works again", func() bool { return w.begun("u2") > before })
	l.stop()
	assert.Empty(t, l.bad)
	t.Logf("%d calls; %d on the data centre that left, before it did", l.done.Load(), before)
}
