// Package burdockkey generates API keys of customers and verifies them against hashes.
// The configuration contains only the hashes, so reading it reveals no key.
package burdockkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const (
	keyPrefix  = "bb-"
	hashPrefix = "sha256:"
	keyBytes   = 32
)

// New returns a random key. With 256 random bits, a single SHA-256 hash is enough to
// protect it; a password would need a slow hash.
func New() string {
	var b [keyBytes]byte
	// crypto/rand.Read never returns an error; on failure it ends the process.
	_, _ = rand.Read(b[:])
	return keyPrefix + hex.EncodeToString(b[:])
}

// Hash returns the hash of a key in the form that the configuration contains.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// Matches reports whether hash is the hash of key. The comparison takes constant time, so
// its duration doesn't reveal how much of the hash is correct.
func Matches(hash, key string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(Hash(key))) == 1
}

// IsHash reports whether s has the form of a hash.
func IsHash(s string) bool {
	digits, ok := strings.CutPrefix(s, hashPrefix)
	if !ok || digits != strings.ToLower(digits) {
		return false
	}
	b, err := hex.DecodeString(digits)
	return err == nil && len(b) == sha256.Size
}

// bearerScheme is the authentication scheme of keys.
const bearerScheme = "Bearer"

// FromAuthorization returns the key in an Authorization header; false if the header has
// another scheme. The name of a scheme is case-insensitive (RFC 9110, 11.1).
func FromAuthorization(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	return strings.TrimSpace(key), true
}
