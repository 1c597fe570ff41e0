package lifecycle

import (
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
)

// NewClient returns the RPC client of a process whose peer listener is at peerAddress
// (IP:port).
func NewClient(peerAddress string, t *settings.Topology) *rpc.Client {
	return rpc.NewClient(rpc.Options{Topology: t, LocalIP: HostIP(peerAddress), Delay: t.Delay})
}

// HostIP returns the IP number of an address (IP:port), and nil if the address is not
// valid. A process connects from this IP, by which other hosts recognise its failure domain.
func HostIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// NewMetrics returns a metric set that holds the byte counters of the client's links.
func NewMetrics(client *rpc.Client) *metrics.Set {
	set := metrics.NewSet()
	telemetry.AddLinks(set, client)
	return set
}
