package history

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const logs = `  11.0 front-1 time=2026-03-01T21:11:10.000Z level=info event=start node=front-1 message=starts
  11.1 front-2 time=2026-03-01T21:11:10.500Z level=info event=leadership entry=front-2 message=leads
  11.1 front-3 time=2026-03-01T21:11:10.500Z level=info event=leadership entry=front-3 message=leads
  11.2 front-3 time=2026-03-01T21:11:10.600Z level=info event=leadership entry=front-3 message="no longer leads"
  12.0 front-1 time=2026-03-01T21:11:11.000Z level=info event=configuration version=3 offset=1 message="configuration in force"
  12.5 front-1 time=2026-03-01T21:11:11.500Z level=info event=configuration version=4 offset=2 message="configuration in force"
  13.0 front-2 time=2026-03-01T21:11:12.000Z level=info event=upstream upstream=i-1 usable=true pace=1 message="belief changed"
  13.1 front-2 time=2026-03-01T21:11:12.100Z level=info event=upstream upstream=i-2 usable=false pace=1 message="belief changed"
  14.0 front-1 time=2026-03-01T21:11:14.019Z level=info message=decision kind=placement outcome=granted request=a6 service=s upstream=i-1 reason=follower
  14.0 front-1 time=2026-03-01T21:11:14.050Z level=info message=decision kind=placement outcome=granted request=other service=s upstream=i-2
  14.1 front-2 time=2026-03-01T21:11:14.080Z level=info event=upstream upstream=i-1 usable=false pace=1 message="belief changed"
  14.1 front-1 time=2026-03-01T21:11:14.100Z level=info message=decision kind=attempt outcome=lost request=a6 service=s upstream=i-1 reason="round trip: \"EOF\" (lost)"
  14.1 front-1 time=2026-03-01T21:11:14.101Z level=info message=decision kind=response outcome=502 request=a6 service=s reason=lost
  15.0 front-2 time=2026-03-01T21:11:15.000Z level=info event=upstream upstream=i-1 usable=true pace=1 message="belief changed"
and a line of another program
`

// Guards against a history that lacks what decided, or that shows beliefs of other upstreams, later ones, or outdated ones.
func TestHistoryOfARequest(t *testing.T) {
	lines, findings, err := Read(strings.NewReader(logs), "file")
	require.NoError(t, err)
	require.Empty(t, findings)
	h, ok := Of(lines, "a6")
	require.True(t, ok)
	var kinds, beliefs []string
	for _, l := range h.Request {
		kinds = append(kinds, l.Entry+" "+l.Fields["kind"]+" "+l.Fields["outcome"])
	}
	for _, l := range h.Beliefs {
		beliefs = append(beliefs, l.Entry+" "+l.Fields["event"]+" "+l.Fields["version"]+l.Fields["upstream"]+" "+l.Fields["usable"])
	}
	assert.Equal(t, []string{"front-1 placement granted", "front-1 attempt lost", "front-1 response 502"}, kinds)
	assert.Equal(t, []string{
		"front-1 start  ", "front-2 leadership  ", "front-1 configuration 4 ", "front-2 upstream i-1 true", "front-2 upstream i-1 false",
	}, beliefs)
	assert.Equal(t, `round trip: "EOF" (lost)`, h.Request[1].Fields["reason"])
	_, ok = Of(lines, "unknown")
	assert.False(t, ok)
}

// Guards against a log that is left out as a whole, or without a word, because of one line that can't be read.
func TestMalformedLinesAreFindings(t *testing.T) {
	lines, findings, err := Read(strings.NewReader("time=never level=info\ntime=2026-03-01T21:11:10.000Z level=info a=\"open\ntime=2026-03-01T21:11:10.000Z level=warn a=b\n"), "e1.log")
	require.NoError(t, err)
	require.Len(t, findings, 2)
	assert.ErrorContains(t, findings[0], "e1.log:1: ")
	assert.ErrorContains(t, findings[1], "e1.log:2: ")
	require.Len(t, lines, 1)
	assert.Equal(t, "e1.log", lines[0].Entry)
	assert.Equal(t, "level=warn a=b", lines[0].Text)
}

// Guards against a decoder of outside text that panics.
func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Add("time= =\"\\")
	f.Fuzz(func(_ *testing.T, text string) {
		lines, _, _ := Read(strings.NewReader(text), "f")
		Of(lines, "a6")
	})
}
