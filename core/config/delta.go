package config

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ErrBaseMismatch says that a delta does not start at the configuration it is applied to.
var ErrBaseMismatch = errors.New("delta does not build on this revision")

// Hash of a configuration's content without its revision, so that a projection
// that a change did not touch keeps its hash.
func Hash(c *pb.Configuration) uint64 {
	d := xxhash.New()
	opts := proto.MarshalOptions{Deterministic: true}
	write := func(kind byte, m proto.Message) {
		b, err := opts.Marshal(m)
		if err != nil { // only invalid UTF-8 fails, which decoding has excluded
			b = []byte(err.Error())
		}
		var head [5]byte
		head[0] = kind
		head[1], head[2], head[3], head[4] = byte(len(b)>>24), byte(len(b)>>16), byte(len(b)>>8), byte(len(b))
		_, _ = d.Write(head[:])
		_, _ = d.Write(b)
	}
	for _, s := range c.GetServices() {
		write('s', s)
	}
	for _, r := range c.GetRoutes() {
		write('r', r)
	}
	for _, s := range c.GetShares() {
		write('h', s)
	}
	return d.Sum64()
}

// Diff returns the delta that turns one projection into another.
func Diff(from, to *pb.Configuration) *pb.Delta {
	d := &pb.Delta{BaseRevision: from.GetRevision(), Revision: to.GetRevision()}
	d.PutServices, d.DeleteServices = diffList(from.GetServices(), to.GetServices(), (*pb.Service).GetName)
	d.PutRoutes, d.DeleteRoutes = diffList(from.GetRoutes(), to.GetRoutes(), (*pb.Route).GetName)
	d.PutShares, d.DeleteShares = diffList(from.GetShares(), to.GetShares(), (*pb.ServiceShares).GetService)
	return d
}

func diffList[T interface {
	comparable
	proto.Message
}](from, to []T, key func(T) string,
) (puts []T, deletes []string) {
	for _, item := range to {
		i, found := search(from, key(item), key)
		if !found || (from[i] != item && !proto.Equal(from[i], item)) {
			puts = append(puts, item)
		}
	}
	for _, item := range from {
		if _, found := search(to, key(item), key); !found {
			deletes = append(deletes, key(item))
		}
	}
	return puts, deletes
}

// ApplyDelta returns the configuration that a delta makes of c.
func ApplyDelta(c *pb.Configuration, d *pb.Delta) (*pb.Configuration, error) {
	if d.GetBaseRevision() != c.GetRevision() {
		return nil, ErrBaseMismatch
	}
	return &pb.Configuration{
		Revision: d.GetRevision(),
		Services: patch(c.GetServices(), d.GetPutServices(), d.GetDeleteServices(), (*pb.Service).GetName),
		Routes:   patch(c.GetRoutes(), d.GetPutRoutes(), d.GetDeleteRoutes(), (*pb.Route).GetName),
		Shares:   patch(c.GetShares(), d.GetPutShares(), d.GetDeleteShares(), (*pb.ServiceShares).GetService),
	}, nil
}

func patch[T any](list, puts []T, deletes []string, key func(T) string) []T {
	list = slices.Clone(list)
	for _, item := range puts {
		list = put(list, item, key)
	}
	for _, k := range deletes {
		list = remove(list, k, key)
	}
	return list
}

func cloneService(s *pb.Service) *pb.Service { return proto.Clone(s).(*pb.Service) }
