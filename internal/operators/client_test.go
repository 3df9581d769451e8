package operators

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/dispatch"
)

// Guards against a status that says "no call runs there" for pools that the asked entry doesn't own, or leaves out the
// upstreams and the entries that don't answer.
func TestStatusOfAll(t *testing.T) {
	leaving := DataCentre{Name: "te-2", Leaving: true, Reason: "smoke", Pools: 2, KnownPools: 1}
	sick := func(n int) []Upstream {
		var out []Upstream
		for i := range n {
			out = append(out, Upstream{Service: "bench", DataCentre: "te-2", UpstreamStatus: dispatch.UpstreamStatus{
				Name: fmt.Sprint("b-", i), Health: dispatch.Ejected, Reason: "failing"}})
		}
		return out
	}
	first, second := newSource(t), newSource(t)
	port := httptest.NewServer(New(Settings{Source: second}))
	defer port.Close()
	first.state.DataCentres, second.state.DataCentres = []DataCentre{leaving}, []DataCentre{leaving}
	second.state.DataCentres[0].RunningCalls = 3
	second.state.Upstreams = sick(25)
	second.state.Self.Host = "b"
	second.state.Log = Log{Used: true, Problem: "timeout"}
	first.state.Members = []Member{{Host: "a"}, {Host: "b", Operators: port.URL}, {Host: "c", Operators: "127.0.0.1:1"}}
	asked := httptest.NewServer(New(Settings{Source: first}))
	defer asked.Close()
	c := &Client{Addresses: []string{"127.0.0.1:1", asked.URL}}

	one, err := c.Status(t.Context())
	require.NoError(t, err)
	assert.Contains(t, text(t, one), "gets no new calls; this entry sees 0 calls in 1 of its 2 pools")
	all, silent, err := c.StatusOfAll(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 1, silent)
	assert.Len(t, all.Upstreams, 25)
	out := text(t, all)
	assert.Contains(t, out, "gets no new calls; waits for 3 calls that still run there")
	assert.Equal(t, maxUpstreamLines, strings.Count(out, "is ejected"))
	assert.Contains(t, out, "5 more upstreams that are not healthy")
	assert.Contains(t, out, "entry b: the log cannot be read")

	_, err = c.Explain(t.Context(), Query{Path: "x"})
	var refused ErrAnswer
	assert.ErrorAs(t, err, &refused)
	assert.Equal(t, 400, refused.Status)
	_, err = (&Client{}).Status(t.Context())
	assert.Error(t, err)
}

func text(t *testing.T, s Status) string {
	var b bytes.Buffer
	require.NoError(t, s.WriteText(&b))
	return b.String()
}
