//go:build !unix

package transport

// alive reports whether an idle connection is usable. Without a non-blocking read it only checks for unread bytes.
func (c *conn) alive() bool { return c.br.Buffered() == 0 }
