package burdockbend

import (
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
)

const entrySettings = `
site = "gt-gua"
dataCentre = "gua-hall-a"
vm = "gua-hall-a-entry-1"
listen = "127.0.0.1:0"
peerListen = "127.0.0.1:0"
adminListen = "127.0.0.1:0"
storeAddresses = ["127.0.0.1:1"]
membershipAddress = "127.0.0.1:1"
plainText = "accepted on this network"
`

func ExampleNew() {
	entry, err := New(WithEntry("entry.toml", []byte(entrySettings)))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(entry.Ready()) // no store listens at that address
	entry.Stop()
	// Output: no configuration yet
}

func ExampleNew_findings() {
	settings := entrySettings + "drainGraceMilis = 10\n"
	_, err := New(WithEntry("entry.toml", []byte(settings)))
	fmt.Println(err)
	// Output: entry.toml:11: drainGraceMilis: unknown key; want drainGraceMillis
}

func TestNewRequiresRole(t *testing.T) {
	if _, err := New(); !errorx.IsOfType(err, ErrNoRole) {
		t.Errorf("New(): got %v, want an ErrNoRole", err)
	}
}
