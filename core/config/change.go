package config

import (
	"cmp"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Apply returns a new configuration at the given revision with the changes
// applied. Unchanged services, routes and shares are shared with c. Apply does
// not validate the result.
func Apply(c *pb.Configuration, changes []*pb.Change, revision uint64) *pb.Configuration {
	services := slices.Clone(c.GetServices())
	routes := slices.Clone(c.GetRoutes())
	shares := c.GetShares()
	for _, ch := range changes {
		switch x := ch.GetChange().(type) {
		case *pb.Change_PutService:
			services = put(services, x.PutService, (*pb.Service).GetName)
		case *pb.Change_DeleteService:
			services = remove(services, x.DeleteService, (*pb.Service).GetName)
			shares = withoutEndedShares(shares, x.DeleteService)
		case *pb.Change_PutRoute:
			routes = put(routes, x.PutRoute, (*pb.Route).GetName)
		case *pb.Change_DeleteRoute:
			routes = remove(routes, x.DeleteRoute, (*pb.Route).GetName)
		}
	}
	return &pb.Configuration{Revision: revision, Services: services, Routes: routes, Shares: shares}
}

// withoutEndedShares drops the shares of a service whose last move has ended.
// The shares of a running move stay, so that Validate rejects the deletion of
// its service because of the dangling reference.
func withoutEndedShares(shares []*pb.ServiceShares, service string) []*pb.ServiceShares {
	i, found := search(shares, service, (*pb.ServiceShares).GetService)
	if !found {
		return shares
	}
	switch shares[i].GetPhase() {
	case pb.MovePhase_MOVE_PHASE_DONE, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, pb.MovePhase_MOVE_PHASE_STOPPED:
		return slices.Delete(slices.Clone(shares), i, i+1)
	}
	return shares
}

// ApplyShares returns a new configuration with the version shares of one
// service replaced.
func ApplyShares(c *pb.Configuration, s *pb.ServiceShares, revision uint64) *pb.Configuration {
	return &pb.Configuration{
		Revision: revision,
		Services: c.GetServices(),
		Routes:   c.GetRoutes(),
		Shares:   put(slices.Clone(c.GetShares()), s, (*pb.ServiceShares).GetService),
	}
}

// put inserts or replaces an item in a list that is sorted by key.
func put[T any](list []T, item T, key func(T) string) []T {
	i, found := search(list, key(item), key)
	if found {
		list[i] = item
		return list
	}
	return slices.Insert(list, i, item)
}

func remove[T any](list []T, k string, key func(T) string) []T {
	i, found := search(list, k, key)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// search returns the position of the item with key k in a list that is sorted by
// key, or the position at which to insert it, and whether there is such an item.
func search[T any](list []T, k string, key func(T) string) (int, bool) {
	return slices.BinarySearchFunc(list, k, func(e T, k string) int { return cmp.Compare(key(e), k) })
}
