package operators

import (
	"fmt"
	"io"
	"strings"
)

// maxUpstreamLines bounds the statements on upstreams in the text. A data centre that returns makes one per upstream.
const maxUpstreamLines = 20

// WriteText writes the statements that an operator acts on, then one line for everything else.
func (s Status) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %s in %s at %s", s.Self.Host, s.Self.DataCentre, stamp(s.Now))
	if s.Ready {
		b.WriteString(", ready\n")
	} else {
		fmt.Fprintf(&b, ", not ready: %s\n", s.NotReady)
	}
	upstreams := 0
	for _, st := range s.Statements {
		if st.Kind == KindMember && st.Phase == Done {
			continue
		}
		if st.Kind == KindUpstream {
			upstreams++
			if upstreams > maxUpstreamLines {
				continue
			}
		}
		fmt.Fprintf(&b, "%-12s %s\n", st.Phase, st.Text)
	}
	if more := upstreams - maxUpstreamLines; more > 0 {
		fmt.Fprintf(&b, "%-12s %s that are not healthy; -o json lists all\n", "", count(more, "more upstream"))
	}
	fmt.Fprintf(&b, "%s; %s in the pools of the entries asked, %d of them healthy\n", count(len(s.Members), "entry"),
		count(len(s.Upstreams), "upstream"), s.healthy())
	_, err := io.WriteString(w, b.String())
	return err
}

func (s Status) healthy() int {
	n := 0
	for _, u := range s.Upstreams {
		if u.Health == "healthy" {
			n++
		}
	}
	return n
}

// WriteText writes one line per event.
func (h History) WriteText(w io.Writer) error {
	var b strings.Builder
	if h.Dropped > 0 {
		fmt.Fprintf(&b, "%s of entry %s are no longer kept\n", count(int(h.Dropped), "earlier event"), h.Host)
	}
	for _, e := range h.Events {
		fmt.Fprintf(&b, "%s  %-12s %s\n", stamp(e.At), e.Statement.Phase, e.Statement.Text)
	}
	if len(h.Events) == 0 {
		b.WriteString("no event matches\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteText writes one sentence per line.
func (e Explanation) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s%s at entry %s:\n  %s\n", e.Query.Method, e.Query.Host, e.Query.Path, e.Host,
		strings.Join(e.Sentences, "\n  "))
	return err
}

// WriteText writes the statement.
func (r LeaveResult) WriteText(w io.Writer) error {
	_, err := fmt.Fprintln(w, r.Text)
	return err
}
