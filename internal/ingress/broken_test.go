package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/responsecheck/responsetest"
	"boragehinge.example/boragehinge/platform/standin"
)

// largeUpload is more bytes than the kernel buffers of a loopback connection hold.
const largeUpload = 16 << 20

// upload sends a request with a large body while the response is read, and returns the response, whose body may break off.
func (r *testServer) upload(path string) *http.Response {
	r.next++
	c, br := r.dial()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: id%d\r\n%s: 5000\r\nContent-Length: %d\r\n\r\n",
		path, names.RequestID, r.next, names.DeadlineMs, largeUpload)
	require.NoError(r.t, err)
	go func() { _, _ = c.Write(make([]byte, largeUpload)) }() // fails when the server closes the connection early
	return r.read(br)
}

// Guards against a caller that gets the first part of a response as the whole one: the upstream has answered an upload at once, without a
// length, and reset the connection while the upload was being written.
func TestResponsesToUploadsThatAreResetAreNotComplete(t *testing.T) {
	for name, size := range map[string]int{"short": 0, "longer than what is buffered": 512 << 10} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, 1)
			config := *r.placer.Config()
			config.Limits.BodyBytes = 2 * largeUpload
			r.placer.set(&config, nil)
			r.placer.upstreams[0].Set(standin.Behaviour{ResetUploads: true, BodySize: size})
			for range 20 {
				resp := r.upload("/unsafe/x")
				_, err := io.ReadAll(resp.Body)
				complete := resp.StatusCode == http.StatusOK && err == nil
				assert.False(t, complete, "the first part was passed on as the whole response")
			}
		})
	}
}

// Guards against a caller that gets a response with a header line that is none in HTTP/1.1, and against repeating a request that must not
// run twice after one.
func TestResponsesWithMalformedFieldsAreReplaced(t *testing.T) {
	for _, line := range responsetest.MalformedFields {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			checkReplaced(t, standin.Behaviour{HeaderLine: line})
		})
	}
}
