package burdockmember

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// maxRank is well above the ranks of the largest group that the system is meant for.
const maxRank burdockid.Rank = 1023

// group collects the ranks of one lock-stepped group.
type group struct {
	key         string // of the first upstream in it
	service     burdockid.Service
	ranks       map[burdockid.Rank]string
	highestRank burdockid.Rank
}

// checkGroups requires that all ranks of a group belong to one model service and are
// numbered from 0 without a gap: an expert map refers to a rank by its number, and a step
// waits for every rank.
func (c *checker) checkGroups(upstreams []Upstream) {
	groups := map[string]*group{}
	var order []string
	for i, u := range upstreams {
		key := burdocktoml.Item("upstream", i)
		if u.Group == "" {
			if u.Rank != 0 {
				c.Add(key+".rank", fmt.Sprintf("is %d without a group", u.Rank), "a group, or no rank")
			}
			continue
		}
		burdockrule.Name(&c.Checker, key+".group", u.Group)
		g := groups[u.Group]
		if g == nil {
			g = &group{key: key, service: u.Service, ranks: map[burdockid.Rank]string{}}
			groups[u.Group] = g
			order = append(order, u.Group)
		}
		c.checkRank(key, u, g)
	}
	for _, name := range order {
		c.checkGaps(name, groups[name])
	}
}

func (c *checker) checkRank(key string, u Upstream, g *group) {
	if s, ok := c.services[u.Service]; ok && s.Kind == KindPlain {
		c.Add(key+".group", fmt.Sprintf("is %q, but the service is plain", u.Group), "no group")
	}
	if u.Service != g.service {
		c.Add(key+".service", fmt.Sprintf("is %q, but the group's %s.service is %q", u.Service, g.key, g.service), "one service for the whole group")
	}
	burdockrule.Between(&c.Checker, key+".rank", u.Rank, 0, maxRank)
	if firstKey, ok := g.ranks[u.Rank]; ok {
		c.Add(key+".rank", fmt.Sprintf("is %d of group %q, as is %s", u.Rank, u.Group, firstKey), "each rank only once")
		return
	}
	g.ranks[u.Rank] = key + ".rank"
	g.highestRank = max(g.highestRank, u.Rank)
}

func (c *checker) checkGaps(name string, g *group) {
	if g.highestRank > maxRank {
		return
	}
	for rank := burdockid.Rank(0); rank < g.highestRank; rank++ {
		if _, ok := g.ranks[rank]; !ok {
			c.Add(g.key+".group", fmt.Sprintf("group %q has no rank %d, but a rank %d", name, rank, g.highestRank), "ranks from 0 without a gap")
			return
		}
	}
}
