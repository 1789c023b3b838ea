// Package burdockentity turns profiles and membership into the values of the
// configuration store and back. Each profile, service, upstream, customer and
// entry has a store key of its own, so that two operators who edit different
// ones don't race, and a change costs the bytes of what changed.
package burdockentity

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

// The store keys: a kind, a slash, and the name of one entity.
const (
	ProfilePrefix  = "profile/"
	ServicePrefix  = "service/"
	UpstreamPrefix = "upstream/"
	CustomerPrefix = "customer/"
	EntryPrefix    = "entry/"
	// SiteKey is the key of what is there only once.
	SiteKey = "site"
)

var namespace = errorx.NewNamespace("burdockentity")

// ErrBadValue is the type of an error about a stored value that isn't ours.
var ErrBadValue = namespace.NewType("badValue")

// Entity is one key of the store and its JSON value.
type Entity struct {
	Key   string
	Value []byte
}

// Encode returns the entity of v.
func Encode(key string, v any) (Entity, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return Entity{}, ErrBadValue.Wrap(err, "encoding %s", key)
	}
	return Entity{Key: key, Value: value}, nil
}

// Decode reads the entity into v. A field that v doesn't know is passed over,
// as a newer release may have written it.
func Decode(e Entity, v any) error {
	if err := json.Unmarshal(e.Value, v); err != nil {
		return ErrBadValue.Wrap(err, "decoding %s", e.Key)
	}
	return nil
}

// CheckName returns an error unless the name within the value is that of the
// key: a value under a wrong key would take another entity's place.
func CheckName[S ~string](e Entity, prefix string, name S) error {
	if e.Key != prefix+string(name) {
		return ErrBadValue.New("the value of %s is that of %q", e.Key, name)
	}
	return nil
}

// Select returns the entities whose key has the prefix.
func Select(entities []Entity, prefix string) []Entity {
	var selected []Entity
	for _, e := range entities {
		if strings.HasPrefix(e.Key, prefix) {
			selected = append(selected, e)
		}
	}
	return selected
}
