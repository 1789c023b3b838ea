// Package burdocklist is the system's view of the platform's membership list:
// which VMs live and which are leaving. It lags behind.
package burdocklist

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is what the platform says of a VM.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone" // destroyed; no process of it can run any more
)

// VM is one line of the list.
type VM struct {
	Name  burdockid.VM `json:"name"`
	State State        `json:"state"`
}

// List is the platform's membership list.
type List interface {
	// VMs returns the list as the platform knows it now.
	VMs(ctx context.Context) ([]VM, error)
}
