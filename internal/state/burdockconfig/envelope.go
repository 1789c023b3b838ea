package burdockconfig

import (
	"encoding/json"
	"strings"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"github.com/joomcode/errorx"
)

// StorePrefix is where the configuration lies in the platform's store.
const StorePrefix = "burdock/config/"

// ErrMalformed says that a value in the store is not an entry.
var ErrMalformed = errorx.NewNamespace("config").NewType("malformed")

// Encode returns e as a value for the store.
func Encode(e Entry) ([]byte, error) { return json.Marshal(e) }

// Decode reads an entry from the store.
func Decode(stored burdockstore.Entry) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(stored.Value, &e); err != nil {
		return Entry{}, ErrMalformed.Wrap(err, "%s", stored.Key)
	}
	key, ours := strings.CutPrefix(stored.Key, StorePrefix)
	if !ours || key == "" || e.Version == 0 {
		return Entry{}, ErrMalformed.New("%s is no key of the configuration, or has no version", stored.Key)
	}
	if e.Key != key {
		return Entry{}, ErrMalformed.New("%s holds the entry of %q", stored.Key, e.Key)
	}
	return e, nil
}
