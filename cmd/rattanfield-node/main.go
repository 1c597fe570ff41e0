// Command rattanfield-node runs the node on the host of an upstream: the entry for the calls of
// local callers and the gate for calls to the local upstream.
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
