package burdockconfig

import (
	"encoding/json"
	"strings"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"github.com/joomcode/errorx"
)

// StorePrefix is the prefix of configuration keys in the platform's store.
const StorePrefix = "burdock/config/"

// ErrMalformed is the type of errors for a store value that is not a valid entry.
var ErrMalformed = errorx.NewNamespace("config").NewType("malformed")

// Encode returns e in the format of a store value.
func Encode(e Entry) ([]byte, error) { return json.Marshal(e) }

// Decode decodes and validates an entry that was read from the store.
func Decode(stored burdockstore.Entry) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(stored.Value, &e); err != nil {
		return Entry{}, ErrMalformed.Wrap(err, "%s", stored.Key)
	}
	key, found := strings.CutPrefix(stored.Key, StorePrefix)
	if !found || key == "" || e.Version == 0 {
		return Entry{}, ErrMalformed.New("%s is not a configuration key, or its value has no version", stored.Key)
	}
	if e.Key != key {
		return Entry{}, ErrMalformed.New("%s contains the entry of key %q", stored.Key, e.Key)
	}
	return e, nil
}
