// Command wigeonwood runs and operates a fleet of routers for multi-turn chats. Package
// cli implements its subcommands.
package main

import (
	"os"

	"github.com/wigeonwood/wigeonwood/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}
