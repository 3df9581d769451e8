package history

import (
	"slices"
	"time"
)

// dependencySpan is how long before a request a lost dependency of its entry is part of its history.
const dependencySpan = 5 * time.Second

// History is what the logs say of one request.
type History struct {
	Request []Line // its own lines
	Beliefs []Line // what was believed when it was decided on, and what changed until its end
}

// Of returns the history of a request, or none when no line names it.
func Of(lines []Line, request string) (History, bool) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var h History
	for _, l := range lines {
		if l.Fields["request"] == request || l.Fields["firstRequest"] == request {
			h.Request = append(h.Request, l)
		}
	}
	if len(h.Request) == 0 {
		return h, false
	}
	c := collector{
		first: h.Request[0].Time, last: h.Request[len(h.Request)-1].Time, entries: map[string]bool{}, upstreams: map[string]bool{},
		service: h.Request[0].Fields["service"], held: map[string]Line{},
	}
	for _, l := range h.Request {
		c.entries[l.Entry] = true
		if u := l.Fields["upstream"]; u != "" {
			c.upstreams[u] = true
		}
	}
	for _, l := range lines {
		c.take(l)
	}
	for _, l := range c.held {
		h.Beliefs = append(h.Beliefs, l)
	}
	h.Beliefs = append(h.Beliefs, c.during...)
	slices.SortStableFunc(h.Beliefs, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return h, true
}

// collector picks the lines that tell what was believed.
type collector struct {
	first, last time.Time
	entries     map[string]bool // that handled the request
	upstreams   map[string]bool
	service     string
	held        map[string]Line // the last line before the request of each belief
	during      []Line
}

func (c *collector) take(l Line) {
	belief := c.belief(l)
	switch {
	case belief == "" || l.Time.After(c.last):
	case l.Time.After(c.first):
		c.during = append(c.during, l)
	case l.Fields["message"] == "no longer leads":
		delete(c.held, belief)
	default:
		c.held[belief] = l
	}
}

// belief names the belief that a line changes, if it may have decided about the request.
func (c *collector) belief(l Line) string {
	f := l.Fields
	own := c.entries[l.Entry]
	switch {
	case f["dependency"] != "" && own && c.first.Sub(l.Time) < dependencySpan:
		return "dependency " + l.Entry + f["dependency"]
	case f["event"] == "configuration" && own:
		return "configuration " + l.Entry
	case f["event"] == "leadership":
		return "leadership " + l.Entry
	case f["event"] == "upstream" && c.upstreams[f["upstream"]]:
		return "upstream " + f["upstream"] + l.Entry
	case f["event"] == "record" && f["source"] == "upstreams" && c.upstreams[f["key"]]:
		return "record " + f["key"]
	case f["event"] == "move" && f["service"] == c.service:
		return "move " + f["service"]
	case f["event"] == "start" && own:
		return "start " + l.Entry
	}
	return ""
}
