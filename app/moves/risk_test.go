package moves

import (
	"testing"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a deployment's preference that is ignored, or that overrides a service's own.
func TestRiskOf(t *testing.T) {
	is := is.New(t)
	cautious, punctual := pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL
	c := &pb.Configuration{Services: []*pb.Service{{Name: "own", Risk: cautious}, {Name: "none"}}}
	is.Equal(riskOf(c, "own", punctual), cautious)
	is.Equal(riskOf(c, "none", punctual), punctual)
	is.Equal(riskOf(c, "none", cautious), cautious)
}
