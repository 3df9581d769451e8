package transport

import (
	"errors"
	"io"
	"os"
)

// body is a response body. The connection can be reused only if the body is read to its end.
type body struct {
	rc          io.ReadCloser
	x           *exchange
	reusable    bool
	undelimited bool // its end is marked only by the close of the connection
	err         error
}

// Read implements io.Reader. Errors other than io.EOF are *Error with the kind Unknown.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.rc.Read(p)
	if err == io.EOF {
		b.end()
	} else if err != nil {
		b.err = b.x.fail(err)
	}
	return n, b.err
}

// end sets the error of the body after a read has returned io.EOF.
func (b *body) end() {
	if b.undelimited {
		if err := b.x.c.streamError(); err != nil {
			b.err = b.x.fail(err)
			return
		}
	}
	b.err = io.EOF
	b.x.finish(b.reusable)
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *body) Close() error {
	if b.err == nil {
		b.err = b.x.newError(Unknown, CauseCancelled, os.ErrClosed)
	}
	b.x.finish(b.reusable && errors.Is(b.err, io.EOF))
	return nil
}
