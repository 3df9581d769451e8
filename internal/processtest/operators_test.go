//go:build linux

package processtest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

// Guards against two operators who change the same version at once and are both told that their change is in force, or
// neither, while the log loses the answers to the appends; and against a loser who isn't told who won.
func TestOperatorsRaceWithLostAnswers(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.upstream("u2", emulator.Config{})
	one, two := target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}
	base := w.apply(w.inventory("", one))
	list := w.entries("dc-1", "e1", "e2")
	w.settled(list...)
	w.faults(func(f *standin.Faults) { f.LoseAnswers = -1 })
	type result struct {
		operator, output string
		status           int
	}
	results := make(chan result, 2)
	for operator, text := range map[string]string{"ana": w.inventory("", two), "ben": w.inventory("", one, two)} {
		file := w.file(operator+".yaml", text)
		go func() {
			status, output := w.command("apply", file, "--platform-url", w.platformURL, "--operators", list[0].operators,
				"--operator", operator, "--base", fmt.Sprint(base), "--timeout", "18s")
			results <- result{operator, output, status}
		}()
	}
	won, lost := <-results, <-results
	if won.status != 0 {
		won, lost = lost, won
	}
	assert.Equal(t, []int{0, 2}, []int{won.status, lost.status}, "%s\n%s", won.output, lost.output)
	assert.Contains(t, won.output, "is in force on all 2 entries")
	assert.Contains(t, lost.output, won.operator, "the loser isn't told who won")
	assert.Contains(t, lost.output, "differs:")
	for _, p := range list {
		w.eventually("the change of the winner is in force", func() bool {
			s, ok := p.state()
			return ok && s.Configuration.Operator == won.operator
		})
	}
	want := 1
	if won.operator == "ben" {
		want = 2
	}
	s, ok := w.owner("dc-1", list...).state()
	assert.True(t, ok)
	assert.Len(t, s.Upstreams, want)
}
