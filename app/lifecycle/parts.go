package lifecycle

import (
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
)

// NewClient returns the client of a process whose peer listener has an address (IP:port).
func NewClient(peerAddress string, t *settings.Topology) *rpc.Client {
	return rpc.NewClient(rpc.Options{Topology: t, LocalIP: HostIP(peerAddress), Delay: t.Delay})
}

// HostIP is the IP of an address (IP:port). Connections start there, which tells
// other hosts in which failure domain they come from.
func HostIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// NewMetrics returns the metrics of a process with those of its client.
func NewMetrics(client *rpc.Client) *metrics.Set {
	set := metrics.NewSet()
	telemetry.AddLinks(set, client)
	return set
}
