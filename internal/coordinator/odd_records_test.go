package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/platform/standin"
)

// Guards against an odd record of another writer that ends the links of the followers, or stops the leader from following the list.
func TestOddUpstreamRecordsDoNotDisturbTheCluster(t *testing.T) {
	const good = `{"address":"127.0.0.1:9000","born":1,"info":{"service":"s","version":"v1","zone":"z1","slots":6},"status":{"state":"ready","seq":1,"coldLeft":"0ms"}}`
	odd := map[string]string{
		"\xff\xfe":  good,
		"nested":    strings.Repeat(`{"info":`, 30_000),
		"large":     strings.Replace(good, `"slots":6`, `"slots":4611686018427387904`, 1),
		"port":      strings.Replace(good, ":9000", ":99999", 1),
		"line\nend": good,
	}
	for key, value := range odd {
		t.Run(fmt.Sprintf("%q", key), func(t *testing.T) {
			c := startCluster(t, 3)
			for _, m := range c.members {
				p, err := place(t, m.node) // advertised followers get upstream records from now on
				require.NoError(t, err)
				p.Finish(placement.Success, time.Millisecond, nil)
			}
			c.store.Put(standin.Upstreams, key, []byte(value))
			c.store.PutUpstream("later", "v1", 9100, 1)
			known := func() bool {
				for _, m := range c.members {
					m.node.mu.Lock()
					_, known := m.node.view.Upstreams["later"]
					_, oddKnown := m.node.view.Upstreams[key]
					m.node.mu.Unlock()
					if !known || oddKnown {
						return false
					}
				}
				return c.settled(3)
			}
			c.eventually("the next record is known to all, and the odd one to none", 4*time.Second, known)
			time.Sleep(time.Second)
			assert.True(t, known(), "the links hold")
		})
	}
}
