package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a cut that leaves a connection open or lets a new one through, and one that stays after its end.
func TestLinkCutAndBack(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("hello\n"))
		}
	}()
	all := &links{byHost: map[string]*link{}}
	defer all.close()
	address, listening, err := all.open("entry-01")
	require.NoError(t, err)
	listening(server.Addr().String())
	read := func() (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
		_, err = bufio.NewReader(c).ReadString('\n')
		return c, err
	}
	c, err := read()
	require.NoError(t, err)
	defer c.Close()
	all.of("entry-01").cut(true)
	_, err = c.Read(make([]byte, 1))
	assert.Error(t, err)
	_, err = read()
	assert.Error(t, err)
	all.of("entry-01").cut(false)
	back, err := read()
	require.NoError(t, err)
	_ = back.Close()
}
