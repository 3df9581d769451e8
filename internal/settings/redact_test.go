package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against keys in the line that the daemon prints at its start.
func TestStringLeavesSecretsOut(t *testing.T) {
	s := Settings{Host: "entry-1", PeerTlsKey: "private", PeerTlsCertificate: "public", AddressKeepSeconds: 10}
	for _, text := range []string{s.String(), (&s).String()} {
		assert.NotContains(t, text, "private")
		assert.Contains(t, text, "peerTlsKey=set")
		assert.Contains(t, text, "host=entry-1")
		assert.Contains(t, text, "addressKeepSeconds=10")
		assert.NotContains(t, text, "\n")
	}
}
