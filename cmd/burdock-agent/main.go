// Command burdock-agent runs the agent process. See docs/OPERATIONS.md.
package main

import (
	"os"

	"burdockbend.example/burdockbend/internal/tool/burdockmain"
)

func main() {
	os.Exit(burdockmain.Agent(os.Args[1:], os.Stderr))
}
