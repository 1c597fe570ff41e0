// Command rattanfield-node is the process on each upstream host: entry and gate.
package main

import (
	"os"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/node"
)

func main() {
	os.Exit(lifecycle.Daemon[*settings.Node]{
		Program: "rattanfield-node",
		Version: telemetry.Version(),
		Load:    settings.LoadNode,
		Run:     node.Run,
		Out:     os.Stdout,
		Errors:  os.Stderr,
	}.Main(os.Args[1:]))
}
