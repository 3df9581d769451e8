package responsecheck_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/responsecheck"
)

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	headEnd    = "\r\n"
)

// Guards against malformed headers that are taken as valid, and against ones that are recognised only when more has arrived.
func TestMalformedHeaders(t *testing.T) {
	for head, want := range map[string]error{
		"garbage\r\n":                                 responsecheck.ErrStatusLine,
		"\r\n":                                        responsecheck.ErrStatusLine,
		"HTTP/2.0 200 OK\r\n":                         responsecheck.ErrStatusLine,
		"HTTP/0.9 200 OK\r\n":                         responsecheck.ErrStatusLine,
		"HTTP/1.1\r\n":                                responsecheck.ErrStatusLine,
		"HTTP/1.1 20 OK\r\n":                          responsecheck.ErrStatusLine,
		"HTTP/1.1 +20 OK\r\n":                         responsecheck.ErrStatusLine,
		"HTTP/1.1 2x0 OK\r\n":                         responsecheck.ErrStatusLine,
		"HTTP/1.1 2000 OK\r\n":                        responsecheck.ErrStatusLine,
		"HTTP/1.1 000 OK\r\n":                         responsecheck.ErrStatus,
		"HTTP/1.1 099 OK\r\n":                         responsecheck.ErrStatus,
		"HTTP/1.1 600 OK\r\n":                         responsecheck.ErrStatus,
		statusLine + "no colon\r\n":                   responsecheck.ErrFieldLine,
		statusLine + ": no name\r\n":                  responsecheck.ErrFieldLine,
		statusLine + "X-A:\r\nContent-Length : 5\r\n": responsecheck.ErrFieldLine,
		statusLine + "X-A: 1\r\n Content-Length: 5\n": responsecheck.ErrFoldedLine,
		statusLine + "\tX-A: 1\r\n":                   responsecheck.ErrFoldedLine,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: chunked\r\n": responsecheck.ErrTransferEncoding,
	} {
		var h responsecheck.Head
		_, end, err := h.Check([]byte(head))
		require.ErrorIs(t, err, want, "%q", head)
		assert.False(t, end)
	}
}

// Guards against control bytes and white space that pass in one position of a field name or value and are rejected in another.
func TestBytesThatFieldsMayNotHold(t *testing.T) {
	const allowedInNames = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		c := string([]byte{byte(b)})
		inName := strings.Contains(allowedInNames, c)
		inValue := b >= ' ' && b != 0x7f || b == '\t'
		for line, valid := range map[string]bool{
			c + "X-A: 1": inName, "X" + c + "A: 1": inName || c == ":", "X-A" + c + ": 1": inName || c == ":",
			"X-A:" + c + "1": inValue, "X-A: 1" + c + "2": inValue, "X-A: 1" + c: inValue,
		} {
			_, _, err := responsecheck.Field([]byte(line))
			assert.Equal(t, valid, err == nil, "%q", line)
		}
	}
}

// Guards against valid headers that are rejected, however their bytes arrive, and against bytes behind a header that are counted to it.
func TestValidHeaders(t *testing.T) {
	for _, head := range []string{
		statusLine + headEnd,
		"HTTP/1.1 200\r\n" + headEnd,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n" + headEnd,
		"HTTP/1.1 503 Service Unavailable\nX-A:\n\n",
		"HTTP/1.1 599 \xc3\xa9\r\nX-A: \ta \xe9\t\r\nTransfer-Encoding: chunked\r\n" + headEnd,
		statusLine + "X-A: " + strings.Repeat("a", 10_000) + "\r\n" + headEnd,
	} {
		for _, step := range []int{1, 7, 1 << 20} {
			var h responsecheck.Head
			arrived, checked := 0, 0
			data := []byte(head + "garbage behind it\r\n")
			for end := false; !end; {
				require.Less(t, arrived, len(data), "%q", head)
				arrived = min(arrived+step, len(data))
				n, ended, err := h.Check(data[checked:arrived])
				require.NoError(t, err, "%q", head)
				checked, end = checked+n, ended
			}
			assert.Equal(t, len(head), checked)
		}
	}
}

// Guards against panics, and against a result that depends on how the bytes arrive.
func FuzzHead(f *testing.F) {
	f.Add([]byte(statusLine+"X-A: 1\r\n"+headEnd), 3)
	f.Add([]byte(statusLine+"X A: 1\r\n"+headEnd), 1)
	f.Add([]byte("HTTP/1.0 200\nTransfer-Encoding: x\n\n"), 20)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		var whole, parts responsecheck.Head
		n, end, err := whole.Check(data)
		split = min(max(split, 0), len(data))
		first, firstEnd, firstErr := parts.Check(data[:split])
		if firstEnd || firstErr != nil {
			require.Equal(t, []any{first, firstEnd, firstErr}, []any{n, end, err})
			return
		}
		second, secondEnd, secondErr := parts.Check(data[first:])
		require.Equal(t, []any{first + second, secondEnd, secondErr}, []any{n, end, err})
		require.True(t, !end || bytes.HasSuffix(data[:n], []byte("\n")))
	})
}
