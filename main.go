// Command buckthorntrack serves requests to a fixed fleet of model engines and plain services under a shifting mix of
// prompts and outputs.
package main

import (
	"os"

	"github.com/buckthorntrack/buckthorntrack/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
