package burdockcrash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// Errors is the error namespace of the package.
var Errors = errorx.NewNamespace("suspect")

// ErrDigest is the type of errors for a malformed digest.
var ErrDigest = Errors.NewType("digest")

// digestBytes is the length of a digest. It makes a collision between two requests of a
// fleet practically impossible.
const digestBytes = 16

// Digest identifies a request to a service by its content, whatever request id its caller uses
// for this attempt.
type Digest [digestBytes]byte

// DigestOf returns the digest of a request's service, method, path and query, customer, body and
// shared parts of its prompt, which may stand in a header. Each of them is preceded by its length,
// so that requests whose parts merely split at different positions have different digests.
func DigestOf(service burdockid.Service, method, target string, customer burdockid.Customer, body []byte, shared ...burdockid.PromptPart) Digest {
	h := sha256.New()
	parts := [][]byte{[]byte(service), []byte(method), []byte(target), []byte(customer), body}
	for _, part := range shared {
		parts = append(parts, []byte(part))
	}
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // never fails
		_, _ = h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil {
		return d, ErrDigest.Wrap(err, "%q", s)
	}
	if len(b) != digestBytes {
		return d, ErrDigest.New("%q: %d bytes, want %d", s, len(b), digestBytes)
	}
	copy(d[:], b)
	return d, nil
}
