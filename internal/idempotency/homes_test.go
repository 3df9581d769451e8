package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// entry is a simulated entry with its records.
type entry struct {
	name     string
	homes    *Homes
	registry *Registry
}

// cluster simulates calls with opaque IDs to entries that agree on the membership.
type cluster struct {
	now     time.Time
	entries []*entry
	next    int
}

func (c *cluster) names() []string {
	var out []string
	for _, e := range c.entries {
		out = append(out, e.name)
	}
	return out
}

func (c *cluster) add() {
	name := fmt.Sprintf("%016x", c.next)
	c.next++
	c.entries = append(c.entries, &entry{name, NewHomes(name, DefaultRetainWindows*DefaultWindow), NewRegistry(Config{Incarnation: name}, c.now)})
	c.updateViews()
	started := c.entries[len(c.entries)-1]
	for _, e := range c.entries[:len(c.entries)-1] {
		started.homes.MergeAges(c.now, e.homes.Ages(c.now))
	}
}

func (c *cluster) updateViews() {
	for _, e := range c.entries {
		e.homes.SetMembers(c.now, c.names())
	}
}

func (c *cluster) remove(i int, planned bool) {
	gone := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	if planned {
		for _, e := range c.entries {
			e.homes.PlannedStop(c.now, gone.name)
		}
		for _, rec := range gone.registry.Export(c.now) {
			home := c.entry(c.entries[0].homes.Place(c.now, rec.ID, true).Home)
			home.registry.Import(c.now, gone.name, []Record{rec}, false)
		}
	}
	c.updateViews()
}

func (c *cluster) entry(name string) *entry {
	i := slices.IndexFunc(c.entries, func(e *entry) bool { return e.name == name })
	return c.entries[i]
}

// send sends a call and reports whether it runs.
func (c *cluster) send(id string, first bool) bool {
	home := c.entry(c.entries[0].homes.Place(c.now, id, first).Home)
	p := home.homes.Place(c.now, id, first)
	if _, known := home.registry.Lookup(c.now, id); !known {
		if p.Unknown {
			return false
		}
		for _, other := range p.Ask {
			asked := c.entry(other)
			if _, known := asked.registry.Lookup(c.now, id); known || asked.homes.Place(c.now, id, first).Unknown {
				return false
			}
		}
	}
	if home.registry.Begin(c.now, id).Kind != Run {
		return false
	}
	home.registry.Finish(c.now, id, Outcome{Kind: Done})
	return true
}

// Guards against an opaque ID that runs twice because an entry joined, stopped as planned or was lost in between.
func TestOpaqueIDRunsOnceAcrossMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{now: start}
		for range 3 {
			c.add()
		}
		c.now = c.now.Add(time.Hour)
		ranAt := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				c.add()
			case 1, 2:
				if len(c.entries) > 2 {
					c.remove(rapid.IntRange(0, len(c.entries)-1).Draw(t, "entry"), rapid.Bool().Draw(t, "planned"))
				}
			case 3:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
			default:
				id := fmt.Sprintf("id-%d", rapid.IntRange(0, 8).Draw(t, "id"))
				last, ran := ranAt[id]
				if !c.send(id, !ran) {
					continue
				}
				if ran && c.now.Sub(last) < (DefaultRetainWindows-1)*DefaultWindow {
					t.Fatalf("%s runs again after %s", id, c.now.Sub(last))
				}
				ranAt[id] = c.now
			}
		}
	})
}

// Guards against an entry that starts after the loss of another one and runs calls again that the lost entry may have run.
func TestStartingEntryLearnsOfEarlierLosses(t *testing.T) {
	old := NewHomes("a", 10*time.Minute)
	old.SetMembers(start.Add(-time.Hour), []string{"a", "b"})
	old.SetMembers(start, []string{"a"})
	now := start.Add(time.Minute)
	started := NewHomes("c", 10*time.Minute)
	started.SetMembers(now, []string{"a", "c"})
	started.MergeAges(now, old.Ages(now))
	for i := range 100 {
		id := fmt.Sprintf("id-%d", i)
		preferred := NewHomes("x", time.Minute)
		preferred.SetMembers(start, []string{"a", "b"})
		if preferred.Place(start, id, false).Home == "b" && started.Place(now, id, false).Home == "c" {
			assert.True(t, started.Place(now, id, false).Unknown, id)
			assert.False(t, started.Place(start.Add(10*time.Minute), id, false).Unknown, id)
		}
	}
}

// Guards against an unknown outcome for IDs whose home wasn't lost, and against IDs that run although their home was lost.
func TestPlaceAfterALoss(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	h := NewHomes("a", 10*time.Minute)
	h.SetMembers(start.Add(-time.Hour), members)
	homes := map[string]string{}
	for i := range 200 {
		id := fmt.Sprintf("id-%d", i)
		homes[id] = h.Place(start, id, false).Home
	}
	h.SetMembers(start, []string{"a", "b", "c"})
	for id, before := range homes {
		p := h.Place(start, id, false)
		assert.Equal(t, before == "d", p.Unknown)
		assert.False(t, h.Place(start, id, true).Unknown, "a first attempt can't have run at an earlier home")
		if before != "d" {
			assert.Equal(t, before, p.Home, "the other IDs keep their homes")
		}
		assert.False(t, h.Place(start.Add(10*time.Minute), id, false).Unknown)
	}
	h.PlannedStop(start.Add(time.Second), "c")
	h.SetMembers(start.Add(time.Second), []string{"a", "b", "c"})
	for id, before := range homes {
		p := h.Place(start, id, false)
		assert.NotEqual(t, "c", p.Home)
		assert.Equal(t, before == "d", p.Unknown, "a planned stop loses no records")
	}
	assert.Equal(t, Successor("c", members), Successor("c", []string{"d", "b", "a"}))
}
