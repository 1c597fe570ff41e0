// Command rattanfield-control runs a control host, which replicates the configuration
// and relays it to nodes.
package main

import (
	"os"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/control"
	"github.com/rattanfield/rattanfield/app/lifecycle"
)

func main() {
	os.Exit(lifecycle.Daemon[*settings.Control]{
		Program: "rattanfield-control",
		Version: telemetry.Version(),
		Load:    settings.LoadControl,
		Run:     control.Run,
		Out:     os.Stdout,
		Errors:  os.Stderr,
	}.Main(os.Args[1:]))
}
