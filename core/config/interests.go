package config

import (
	"slices"
	"strings"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// allKey is the interest key of all services. It assumes that no service is named "*".
const allKey = "*"

// InterestKey returns a key that is equal for equal sets of interests,
// independent of the order of the names.
func InterestKey(i *pb.Interests) string {
	if i.GetAll() {
		return allKey
	}
	names := slices.Clone(i.GetServices())
	slices.Sort(names)
	return strings.Join(slices.Compact(names), "\x00")
}

// Covers reports whether a projection for the interests have contains
// everything in a projection for the interests want.
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
