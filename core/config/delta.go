package config

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ErrBaseMismatch reports that the base revision of a delta is not the revision
// of the configuration to which it is applied.
var ErrBaseMismatch = errors.New("delta does not build on this revision")

// Hash returns the hash of a configuration's content. The revision is excluded,
// so that a projection that a change did not affect keeps its hash.
func Hash(c *pb.Configuration) uint64 {
	d := xxhash.New()
	opts := proto.MarshalOptions{Deterministic: true}
	// Each message is preceded by the kind of its list and its length, so that different
	// configurations never have the same bytes.
	write := func(kind byte, m proto.Message) {
		b, err := opts.Marshal(m)
		if err != nil { // only invalid UTF-8 fails, which decoding has excluded
			b = []byte(err.Error())
		}
		var header [5]byte
		header[0] = kind
		header[1], header[2], header[3], header[4] = byte(len(b)>>24), byte(len(b)>>16), byte(len(b)>>8), byte(len(b))
		_, _ = d.Write(header[:])
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

// Diff returns the delta from one configuration to another. Both must be sorted by name.
func Diff(from, to *pb.Configuration) *pb.Delta {
	d := &pb.Delta{BaseRevision: from.GetRevision(), Revision: to.GetRevision()}
	d.PutServices, d.DeleteServices = diffList(from.GetServices(), to.GetServices(), (*pb.Service).GetName)
	d.PutRoutes, d.DeleteRoutes = diffList(from.GetRoutes(), to.GetRoutes(), (*pb.Route).GetName)
	d.PutShares, d.DeleteShares = diffList(from.GetShares(), to.GetShares(), (*pb.ServiceShares).GetService)
	return d
}

// diffList returns the items of to that from lacks or holds with another content,
// and the keys of the items of from that to lacks.
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

// ApplyDelta returns the configuration that results from applying a delta to c.
// The error is ErrBaseMismatch when c is not at the base revision of the delta.
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

// patch returns a copy of a sorted list with items put and the items with the given keys deleted.
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
