package telemetry

import "runtime/debug"

// version is set at link time: -ldflags "-X .../adapters/telemetry.version=v1.2.3".
var version = ""

// Version returns the version set at link time, else the VCS revision from the
// build information, else "dev".
func Version() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "dev"
}
