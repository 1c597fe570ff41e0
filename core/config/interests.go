package config

import (
	"slices"
	"strings"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// allKey is the interest key of everything; a service name can not be a star.
const allKey = "*"

// InterestKey names a set of interests: equal sets in any order have equal keys.
func InterestKey(i *pb.Interests) string {
	if i.GetAll() {
		return allKey
	}
	names := slices.Clone(i.GetServices())
	slices.Sort(names)
	return strings.Join(slices.Compact(names), "\x00")
}

// Covers reports whether a projection for the interests have contains the whole
// projection for the interests want.
func Covers(have, want *pb.Interests) bool {
	if have.GetAll() {
		return true
	}
	if want.GetAll() {
		return false
	}
	return !slices.ContainsFunc(want.GetServices(), func(name string) bool {
		return !slices.Contains(have.GetServices(), name)
	})
}
