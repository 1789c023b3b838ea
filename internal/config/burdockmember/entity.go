package burdockmember

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
)

// siteValue is the JSON value of the store key burdockentity.SiteKey.
type siteValue struct {
	Site        string       `json:"site"`
	DataCentres []DataCentre `json:"dataCentre"`
}

// entityKind defines the store keys of one kind of entity: a prefix and the entity's name.
type entityKind[T any] struct {
	prefix string
	name   func(T) string
}

var (
	services  = entityKind[Service]{burdockentity.ServicePrefix, func(s Service) string { return string(s.Name) }}
	upstreams = entityKind[Upstream]{burdockentity.UpstreamPrefix, func(u Upstream) string { return string(u.Name) }}
	entries   = entityKind[Entry]{burdockentity.EntryPrefix, func(e Entry) string { return string(e.VM) }}
	customers = entityKind[Customer]{burdockentity.CustomerPrefix, func(c Customer) string { return string(c.Name) }}
)

// Split returns the store entities that represent a fleet.
func Split(f Fleet) ([]burdockentity.Entity, error) {
	siteEntity, err := burdockentity.Encode(burdockentity.SiteKey, siteValue{Site: f.Site, DataCentres: f.DataCentres})
	if err != nil {
		return nil, err
	}
	s := &splitter{entities: []burdockentity.Entity{siteEntity}}
	split(s, services, f.Services)
	split(s, upstreams, f.Upstreams)
	split(s, entries, f.Entries)
	split(s, customers, f.Customers)
	return s.entities, s.err
}

// Assemble returns the fleet that entities describe, with each list sorted by name. It
// ignores entities of other kinds, such as profiles. References are not checked: each
// entity is stored separately, and a reader may receive an upstream before its service.
func Assemble(entities []burdockentity.Entity) (Fleet, error) {
	var f Fleet
	a := &assembler{entities: entities}
	f.Services = assemble(a, services)
	f.Upstreams = assemble(a, upstreams)
	f.Entries = assemble(a, entries)
	f.Customers = assemble(a, customers)
	for _, e := range entities {
		if e.Key == burdockentity.SiteKey {
			a.decodeSite(e, &f)
		}
	}
	if a.err != nil {
		return Fleet{}, a.err
	}
	return f, nil
}

type splitter struct {
	entities []burdockentity.Entity
	err      error
}

func split[T any](s *splitter, k entityKind[T], items []T) {
	for _, item := range items {
		e, err := burdockentity.Encode(k.prefix+k.name(item), item)
		if err != nil {
			s.err = cmp.Or(s.err, err)
			return
		}
		s.entities = append(s.entities, e)
	}
}

type assembler struct {
	entities []burdockentity.Entity
	err      error
}

func (a *assembler) decodeSite(e burdockentity.Entity, f *Fleet) {
	var s siteValue
	if err := burdockentity.Decode(e, &s); err != nil {
		a.err = cmp.Or(a.err, err)
	}
	f.Site, f.DataCentres = s.Site, s.DataCentres
}

func assemble[T any](a *assembler, k entityKind[T]) []T {
	var items []T
	for _, e := range burdockentity.Select(a.entities, k.prefix) {
		var item T
		err := burdockentity.Decode(e, &item)
		if err == nil {
			err = burdockentity.CheckName(e, k.prefix, k.name(item))
		}
		a.err = cmp.Or(a.err, err)
		items = append(items, item)
	}
	slices.SortFunc(items, func(x, y T) int { return cmp.Compare(k.name(x), k.name(y)) })
	return items
}
