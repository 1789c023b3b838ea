// Package burdocklist is the client of the platform's membership list, which states which
// VMs are live and which are leaving. The list lags behind the actual state.
package burdocklist

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is the state of a VM according to the platform.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone" // destroyed; none of its processes can still run
)

// VM is one entry of the list.
type VM struct {
	Name  burdockid.VM `json:"name"`
	State State        `json:"state"`
}

// List is the platform's membership list.
type List interface {
	// VMs returns the platform's current list.
	VMs(ctx context.Context) ([]VM, error)
}
