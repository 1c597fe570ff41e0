package control

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/consensus"
)

// status is the program-specific detail in the response of /v1/status.
type status struct {
	Revision       uint64 `json:"revision"`
	AppliedIndex   uint64 `json:"applied_index"`
	Leader         string `json:"leader"`
	IsLeader       bool   `json:"is_leader"`
	ConfirmedAgeMS int64  `json:"confirmed_age_ms"`
}

func newAdmin(s *settings.Control, host *consensus.Host, set *metrics.Set) *telemetry.Admin {
	read := func() status {
		state := host.State()
		leader, _ := host.Leader()
		return status{
			Revision: state.Configuration.GetRevision(), AppliedIndex: state.Index,
			Leader: leader, IsLeader: host.IsLeader(), ConfirmedAgeMS: host.ConfirmedAge().Milliseconds(),
		}
	}
	admin := telemetry.NewAdmin(telemetry.AdminOptions{
		Program: Program, ID: s.ID, Set: set, Status: func() any { return read() },
	})
	admin.AddReadiness("leader", func() error {
		if leader, _ := host.Leader(); leader == "" {
			return errors.New("no leader is known")
		}
		return nil
	})
	set.NewGauge("rattanfield_revision", func() float64 { return float64(read().Revision) })
	set.NewGauge("rattanfield_applied_index", func() float64 { return float64(read().AppliedIndex) })
	set.NewGauge("rattanfield_log_bytes", func() float64 { return float64(host.Status().LogBytes) })
	set.NewGauge("rattanfield_confirmed_age_seconds", func() float64 { return host.ConfirmedAge().Seconds() })
	set.NewGauge("rattanfield_is_leader", func() float64 {
		if host.IsLeader() {
			return 1
		}
		return 0
	})
	for name, r := range host.Rings() {
		telemetry.AddRing(set, name, r)
	}
	return admin
}
