package node

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/calls"
	"github.com/rattanfield/rattanfield/app/follower"
	"github.com/rattanfield/rattanfield/app/members"
)

// status is the program-specific detail in the response of /v1/status.
type status struct {
	Revision   uint64 `json:"revision"`
	Hash       uint64 `json:"hash,string"`
	FloorKnown bool   `json:"floor_known"`
	Endpoints  int    `json:"endpoints"` // records in the endpoint table
}

func newAdmin(s *settings.Node, f *follower.Follower, m *members.Members, c *calls.Calls, set *metrics.Set) *telemetry.Admin {
	read := func() any {
		out := status{Revision: f.Revision(), FloorKnown: f.FloorKnown(), Endpoints: len(m.Records())}
		if p := f.Projection(); p != nil {
			out.Hash = p.Hash
		}
		return out
	}
	admin := telemetry.NewAdmin(telemetry.AdminOptions{Program: Program, ID: s.ID, Set: set, Status: read})
	admin.AddReadiness("configuration", func() error {
		if !f.FloorKnown() {
			return errors.New("configuration floor unknown")
		}
		return nil
	})
	announce := c.AnnounceHandler()
	admin.Router().POST("/v1/announce", announce)
	admin.Router().POST("/v1/leave", announce)
	set.NewGauge("rattanfield_revision", func() float64 { return float64(f.Revision()) })
	set.NewGauge("rattanfield_endpoint_records", func() float64 { return float64(len(m.Records())) })
	telemetry.AddRing(set, "claim_notices", c.Notices())
	return admin
}
