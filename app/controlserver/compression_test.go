package controlserver_test

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// Guards against exchanges between control hosts that fill the link between regions with what their records share, and against
// hosts of an earlier version, which do not accept compression, that get no records.
func TestExchangesAreCompressed(t *testing.T) {
	is := is.New(t)
	a := addresses(1)
	control := startControl(t, a[0], t.TempDir(), "d0", a, a)
	eventually(t, "a voter", func() bool { return voters(control.host) == 1 })
	const nodes = 60
	received := func(options ...connect.ClientOption) uint64 {
		client := rpc.NewClient(rpc.Options{})
		defer client.Close()
		mesh := rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(a[0]), options...)
		for i := range nodes {
			_, err := mesh.Sync(context.Background(), connect.NewRequest(&pb.MeshServiceSyncRequest{NoTable: true, Self: &pb.NodeRecord{
				Node: fmt.Sprintf("10.1.0.%d:8228", i), Epoch: 1765000000000000000 + int64(i)*7919, Seq: uint64(i), FailureDomain: "kingston-a", Region: "kingston",
				Instance: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "bookings", Version: "v1", Slots: 9, State: pb.UpstreamState_UPSTREAM_STATE_SERVING,
			}}))
			is.NoErr(err)
		}
		before := client.Bytes(ports.LinkDomain).Received.Load()
		for range 3 { // the decoder is used again
			r, err := mesh.Exchange(context.Background(), connect.NewRequest(&pb.MeshServiceExchangeRequest{}))
			is.NoErr(err)
			is.Equal(len(r.Msg.GetRecords()), nodes)
		}
		return client.Bytes(ports.LinkDomain).Received.Load() - before
	}
	plain, compressed := received(), received(rpc.AcceptZstd())
	t.Logf("%d bytes, compressed %d", plain, compressed)
	is.True(compressed < plain/2)
}
