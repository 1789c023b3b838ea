// Package burdockrule provides the validation rules that settings, profiles and fleets
// share. Each rule adds a finding if a value violates it.
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

// maxNameBytes keeps names short enough for store keys, log lines and metric labels.
const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Checker collects findings that have a key, but no file or line. The zero value is ready
// to use.
type Checker struct {
	findings burdockfinding.List
}

// Findings returns the findings added so far.
func (c *Checker) Findings() []burdockfinding.Finding { return c.findings.All() }

// Add adds a finding: what is wrong with the value of key, and what is wanted instead.
func (c *Checker) Add(key, what, want string) {
	c.findings.Add(burdockfinding.Finding{Key: key, What: what, Want: want})
}

// Name requires a name that is valid in a store key, without slash or space. It reports
// whether value is one.
func Name[S ~string](c *Checker, key string, value S) bool {
	switch {
	case value == "":
		c.Add(key, "missing", "a name")
	case len(value) > maxNameBytes:
		c.Add(key, fmt.Sprintf("is %d bytes long", len(value)), fmt.Sprintf("at most %d", maxNameBytes))
	case !namePattern.MatchString(string(value)):
		c.Add(key, fmt.Sprintf("is %q", value), "letters, digits, '.', '_' and '-', the first a letter or digit")
	default:
		return true
	}
	return false
}

// Between requires a number from low to high, both included.
func Between[N cmp.Ordered](c *Checker, key string, value, low, high N) {
	if value < low || value > high {
		c.Add(key, "is "+formatNumber(value), formatNumber(low)+" to "+formatNumber(high))
	}
}

// formatNumber formats a number without an exponent, as it is written in a file.
func formatNumber[N cmp.Ordered](value N) string {
	if x, ok := any(value).(float64); ok {
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// OneOf requires that value is one of words.
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

// Address requires the address of another process: an IP address that can be dialled, and
// a port. Host names are refused, because the VMs have no DNS resolver to depend on. It
// returns the address, or the zero AddrPort if value violates the rule.
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

// Listen requires an address to listen on. Port 0 lets the operating system choose a port,
// and 0.0.0.0 or [::] means every address of the VM. It returns the address, or the zero
// AddrPort if value violates the rule.
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

// Unique detects duplicate values. The zero value is ready to use.
type Unique[V comparable] struct {
	keys map[V]string
}

// Add records the value of key, and reports whether it is new; a duplicate adds a
// finding. The zero value of V is ignored, because a missing value is reported by another
// rule.
func (u *Unique[V]) Add(c *Checker, key string, value V) bool {
	var zero V
	if value == zero {
		return false
	}
	if firstKey, ok := u.keys[value]; ok {
		c.Add(key, fmt.Sprintf("is %q, as is %s", fmt.Sprint(value), firstKey), "each only once")
		return false
	}
	if u.keys == nil {
		u.keys = map[V]string{}
	}
	u.keys[value] = key
	return true
}

// Has reports whether value was added.
func (u *Unique[V]) Has(value V) bool {
	_, ok := u.keys[value]
	return ok
}
