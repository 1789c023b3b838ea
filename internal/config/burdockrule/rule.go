// Package burdockrule holds the rules that settings, profiles and membership
// share. Each rule adds a finding when a value breaks it.
package burdockrule

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// maxNameBytes keeps a name short enough for a store key, a log line and a
// metric label.
const maxNameBytes = 64

var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Checker collects findings that know their key, but neither file nor line.
// The zero value is ready to use.
type Checker struct {
	list burdockfinding.List
}

// Findings returns what was found so far.
func (c *Checker) Findings() []burdockfinding.Finding { return c.list.All() }

// Add adds a finding.
func (c *Checker) Add(key, what, want string) {
	c.list.Add(burdockfinding.Finding{Key: key, What: what, Want: want})
}

// Name asks for a name that can stand in a store key: no slash, no space.
// It reports whether the value is one.
func Name[S ~string](c *Checker, key string, value S) bool {
	switch {
	case value == "":
		c.Add(key, "missing", "a name")
	case len(value) > maxNameBytes:
		c.Add(key, fmt.Sprintf("is %d bytes long", len(value)), fmt.Sprintf("at most %d", maxNameBytes))
	case !name.MatchString(string(value)):
		c.Add(key, fmt.Sprintf("is %q", value), "letters, digits, '.', '_' and '-', the first a letter or digit")
	default:
		return true
	}
	return false
}

// Between asks for a number from low to high.
func Between[N cmp.Ordered](c *Checker, key string, value, low, high N) {
	if value < low || value > high {
		c.Add(key, "is "+plain(value), plain(low)+" to "+plain(high))
	}
}

// plain writes a number as a file would, without an exponent.
func plain[N cmp.Ordered](value N) string {
	if x, ok := any(value).(float64); ok {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// OneOf asks for one of some words.
func OneOf[S ~string](c *Checker, key string, value S, words ...S) {
	if slices.Contains(words, value) {
		return
	}
	quoted := make([]string, len(words))
	for i, word := range words {
		quoted[i] = fmt.Sprintf("%q", word)
	}
	what := fmt.Sprintf("is %q", value)
	if value == "" {
		what = "missing"
	}
	c.Add(key, what, strings.Join(quoted, " or "))
}

// Address asks for the address of another process: an IP number that can be
// dialled, and a port. Names are refused, as the system's VMs have no
// resolver that they may depend on. It returns the address, not valid when it
// broke the rule.
func (c *Checker) Address(key, value string) netip.AddrPort {
	addr := c.address(key, value)
	switch {
	case !addr.IsValid():
	case addr.Port() == 0:
		c.Add(key, "has port 0", "a port from 1 to 65535")
	case addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		c.Add(key, fmt.Sprintf("is %q, which nobody can dial", value), "the IP number of one VM")
	default:
		return addr
	}
	return netip.AddrPort{}
}

// Listen asks for an address to listen on: port 0 lets the machine choose
// one, and 0.0.0.0 or [::] stands for every address of the VM.
func (c *Checker) Listen(key, value string) netip.AddrPort { return c.address(key, value) }

func (c *Checker) address(key, value string) netip.AddrPort {
	if value == "" {
		c.Add(key, "missing", "an IP number and port, such as 10.20.0.5:7400")
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.Add(key, fmt.Sprintf("is %q", value), "an IP number and port, such as 10.20.0.5:7400 or [fd00::5]:7400, and no host name")
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Unique finds values that stand more than once. The zero value is ready to use.
type Unique[V comparable] struct {
	first map[V]string
}

// Add notes that value stands at key, and reports whether it is the first.
// The zero value of V is left out: that it is missing is another finding.
func (u *Unique[V]) Add(c *Checker, key string, value V) bool {
	var none V
	if value == none {
		return false
	}
	if first, ok := u.first[value]; ok {
		c.Add(key, fmt.Sprintf("is %q, as is %s", fmt.Sprint(value), first), "each only once")
		return false
	}
	if u.first == nil {
		u.first = map[V]string{}
	}
	u.first[value] = key
	return true
}

// Has reports whether value was added.
func (u *Unique[V]) Has(value V) bool {
	_, ok := u.first[value]
	return ok
}
