// Package burdockkey makes customers' keys and tells whose a key is. The
// configuration holds only hashes, so that who reads it learns no key.
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

// New returns a key that nobody can guess. As it has 256 random bits, one
// round of SHA-256 is enough to keep it secret; a password would need more.
func New() string {
	var b [keyBytes]byte
	// crypto/rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(b[:])
	return keyPrefix + hex.EncodeToString(b[:])
}

// Hash returns the hash of a key as the configuration holds it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// Matches reports whether key has the hash. How long it takes tells nothing
// about how much of the hash is right.
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
