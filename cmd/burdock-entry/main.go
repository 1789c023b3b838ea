// Command burdock-entry runs the entry process. See docs/OPERATIONS.md.
package main

import (
	"os"

	"burdockbend.example/burdockbend/internal/tool/burdockmain"
)

func main() {
	os.Exit(burdockmain.Entry(os.Args[1:], os.Stderr))
}
