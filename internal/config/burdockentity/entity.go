// Package burdockentity converts profiles and fleets to values of the configuration store
// and back. Each profile, service, upstream, customer and entry has its own store key:
// operators who edit different ones don't conflict, and a change transfers only the
// entities that changed.
package burdockentity

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

// Prefixes of the store keys: the kind of entity and a slash. The entity's name follows.
const (
	ProfilePrefix  = "profile/"
	ServicePrefix  = "service/"
	UpstreamPrefix = "upstream/"
	CustomerPrefix = "customer/"
	EntryPrefix    = "entry/"
	// SiteKey is the key of the site's name and data centres.
	SiteKey = "site"
)

var namespace = errorx.NewNamespace("burdockentity")

// ErrBadValue is the type of errors about a stored value that can't be encoded or decoded,
// or doesn't belong to its key.
var ErrBadValue = namespace.NewType("badValue")

// Entity is one key of the store and its JSON value.
type Entity struct {
	Key   string
	Value []byte
}

// Encode returns the entity with v as its JSON value.
func Encode(key string, v any) (Entity, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return Entity{}, ErrBadValue.Wrap(err, "encoding %s", key)
	}
	return Entity{Key: key, Value: value}, nil
}

// Decode decodes the entity's value into v. Unknown fields are ignored, because a newer
// release may have written them.
func Decode(e Entity, v any) error {
	if err := json.Unmarshal(e.Value, v); err != nil {
		return ErrBadValue.Wrap(err, "decoding %s", e.Key)
	}
	return nil
}

// CheckName returns an error unless the name in the value matches the key. A value under a
// wrong key would replace another entity.
func CheckName[S ~string](e Entity, prefix string, name S) error {
	if e.Key != prefix+string(name) {
		return ErrBadValue.New("value of %s has the name %q", e.Key, name)
	}
	return nil
}

// Select returns the entities whose keys have the prefix.
func Select(entities []Entity, prefix string) []Entity {
	var selected []Entity
	for _, e := range entities {
		if strings.HasPrefix(e.Key, prefix) {
			selected = append(selected, e)
		}
	}
	return selected
}
