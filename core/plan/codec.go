package plan

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Encode returns the encoded plan and the digest of its content. The first byte
// of the payload is 1 when the rest is compressed, 0 otherwise.
func Encode(p *pb.Plan) (payload []byte, digest uint64, err error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	if err != nil {
		return nil, 0, eris.Wrap(err, "encode the plan")
	}
	payload, compressed, err := config.Encode(p, true)
	if err != nil {
		return nil, 0, eris.Wrap(err, "compress the plan")
	}
	flag := byte(0)
	if compressed {
		flag = 1
	}
	return append([]byte{flag}, payload...), xxhash.Sum64(plain), nil
}

// Decode returns the plan of a payload that Encode produced. Without a number it is no plan:
// the payload is damaged, and a node with it would have no routes.
func Decode(payload []byte) (*pb.Plan, error) {
	if len(payload) == 0 || payload[0] > 1 {
		return nil, eris.New("decode the plan: the payload does not begin with 0 or 1")
	}
	p := &pb.Plan{}
	if err := config.Decode(payload[1:], payload[0] == 1, p); err != nil {
		return nil, eris.Wrap(err, "decode the plan")
	}
	if p.GetNumber() == 0 {
		return nil, eris.New("decode the plan: the number is missing")
	}
	return p, nil
}
