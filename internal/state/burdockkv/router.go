package burdockkv

import (
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Route sends the keys under a prefix to a sink.
type Route struct {
	Prefix string
	Sink   Sink
}

// Router is a Sink that distributes keys by prefix. With it, one watch serves all that a
// process follows: a watch for each prefix would multiply the calls of a large fleet by
// the number of prefixes. Keys without a route are dropped.
type Router struct{ routes []Route }

// NewRouter returns a router. Prefixes must not overlap.
func NewRouter(routes ...Route) *Router { return &Router{routes: routes} }

// Listed implements Sink.
func (r *Router) Listed(items []Item) {
	for _, route := range r.routes {
		route.Sink.Listed(underPrefix(items, route.Prefix))
	}
}

// Changed implements Sink.
func (r *Router) Changed(items []Item) {
	for _, route := range r.routes {
		if own := underPrefix(items, route.Prefix); len(own) > 0 {
			route.Sink.Changed(own)
		}
	}
}

// StoreRecovered implements Sink.
func (r *Router) StoreRecovered(outage burdockclock.Millis) {
	for _, route := range r.routes {
		route.Sink.StoreRecovered(outage)
	}
}

// StoreRestored implements Sink.
func (r *Router) StoreRestored() {
	for _, route := range r.routes {
		route.Sink.StoreRestored()
	}
}

func underPrefix(items []Item, prefix string) []Item {
	var own []Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			own = append(own, item)
		}
	}
	return own
}
