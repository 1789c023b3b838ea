package burdockdirect

import (
	"io"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

const (
	// defaultAnswerBytes bounds the answers that an entry holds at a time, if the settings
	// name no memory.
	defaultAnswerBytes = 64 << 20
	// maxAnswerShare is the part of that which one answer may have.
	maxAnswerShare = 4
	// maxBufferedAnswer bounds an answer that is read completely before it is passed on.
	maxBufferedAnswer = 16 << 20
	// freeBytes of each answer or event are not counted. The number of requests bounds them.
	freeBytes = 64 << 10
	// minPiece and maxPiece bound the pieces in which an answer is read.
	minPiece = 4 << 10
	maxPiece = 64 << 10
)

// errTooLong means that an answer or event is longer than the entry has room for. It may be
// without end.
var errTooLong = errorx.NewType(errorx.NewNamespace("burdockdirect"), "too_long")

// byteBudget bounds the bytes of answers that an entry holds for all requests together. Upstreams
// may send answers without end, several at a time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func newByteBudget(limit int64) *byteBudget {
	if limit <= 0 {
		limit = defaultAnswerBytes
	}
	return &byteBudget{limit: limit}
}

// heldBytes are the bytes of one answer, or of one event of a stream.
type heldBytes struct {
	budget *byteBudget
	n      int64 // bytes held
	booked int64 // of those, bytes that count
}

// grow adds bytes. It reports false if there is no room for them.
func (h *heldBytes) grow(n int) bool {
	h.n += int64(n)
	if h.n > min(maxBufferedAnswer, h.budget.limit/maxAnswerShare) {
		return false
	}
	more := h.n - freeBytes - h.booked
	if more <= 0 {
		return true
	}
	if h.budget.used.Add(more) > h.budget.limit {
		h.budget.used.Add(-more)
		return false
	}
	h.booked += more
	return true
}

// release gives the bytes back.
func (h *heldBytes) release() {
	h.budget.used.Add(-h.booked)
	h.n, h.booked = 0, 0
}

// answerBody is the body of an answer that is read to its end, in pieces.
type answerBody struct {
	pieces [][]byte
	held   heldBytes
}

func (b *answerBody) length() int64 {
	n := 0
	for _, piece := range b.pieces {
		n += len(piece)
	}
	return int64(n)
}

// read reads a body to its end. length is what the head says, or less than 0.
func (b *answerBody) read(r io.Reader, length int64) error {
	size := minPiece
	if length >= 0 && length < maxPiece {
		size = int(length) + 1 // room for finding the end
	}
	for {
		piece := make([]byte, size)
		n, err := readPiece(r, piece)
		if !b.held.grow(n) {
			return errTooLong.New("more than %d bytes", b.held.n)
		}
		b.pieces = append(b.pieces, piece[:n])
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
		size = min(2*size, maxPiece)
	}
}

// readPiece reads until a piece is full or reading fails.
func readPiece(r io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		m, err := r.Read(piece[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// writeTo writes the body.
func (b *answerBody) writeTo(w io.Writer) error {
	for _, piece := range b.pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
