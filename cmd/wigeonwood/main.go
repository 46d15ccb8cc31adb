// Command wigeonwood runs and operates a fleet of routers for returning chats.
package main

import (
	"os"

	"github.com/wigeonwood/wigeonwood/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}
