// Package evacuation prepares the orders of operators about the evacuation of failure domains. Every control host does so in
// the same way, whichever interface an order arrives at.
package evacuation

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanfield/rattanfield/core/nodetable"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ErrName means that a text cannot name a failure domain.
var ErrName = fmt.Errorf("the name of a failure domain has 1 to %d bytes", nodetable.MaxTextBytes)

// UnknownError means that a site does not have a failure domain.
type UnknownError struct {
	Domain string
	Site   []string // the failure domains of the site
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("failure domain %s is not known; this site has %s", e.Domain, strings.Join(e.Site, ", "))
}

// NewOrder returns the order to start or withdraw the evacuation of a failure domain. site lists the failure domains of the
// site; if it is empty, they are not known and every name is accepted. newest are the orders that the host has applied
// when it receives this one: the order names the newest one about its domain, so that it does not undo a later one.
//
// A failure domain that was removed from the settings while it was evacuated can still be withdrawn.
func NewOrder(domain string, active bool, site []string, newest []*pb.Evacuation) (*pb.ChangeEvacuation, error) {
	if domain == "" || len(domain) > nodetable.MaxTextBytes {
		return nil, ErrName
	}
	base, evacuated := uint64(0), false
	for _, e := range newest {
		if e.GetFailureDomain() == domain {
			base, evacuated = e.GetSerial(), e.GetActive()
		}
	}
	if len(site) > 0 && !slices.Contains(site, domain) && (active || !evacuated) {
		return nil, &UnknownError{Domain: domain, Site: site}
	}
	return &pb.ChangeEvacuation{FailureDomain: domain, Active: active, BaseSerial: &base, FailureDomains: site}, nil
}
