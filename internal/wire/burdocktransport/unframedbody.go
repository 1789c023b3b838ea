package burdocktransport

import (
	"context"
	"io"
)

// unframedBody is a body that only the end of its connection ends.
//
// A socket reports that it was reset once. While the request is still being sent, the write may
// take that error; reading then finds the end of the body, and a part of the answer looks whole.
// The write may return after the read, so its outcome is awaited.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	sending *sending
	end     error // the outcome of reading, once it has ended
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if cut := b.sending.awaitEnd(b.ctx); cut != nil {
			err = cut
		}
	}
	b.end = err
	return n, err
}
