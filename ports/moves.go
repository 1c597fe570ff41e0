package ports

import (
	"context"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ReportSender sends outcome reports from a node to its relay.
type ReportSender interface {
	SendReports(ctx context.Context, reports []*pb.OutcomeReport) error
}

// ReportSink receives the outcome reports that arrive at a control host.
type ReportSink interface {
	ReceiveReports(reports []*pb.OutcomeReport)
}

// BrakeReader gives a relay the ids of the moves that are braked in a failure domain: their
// circuit breaker is open there, which stops calls to the new version before the leader
// decides on the move.
type BrakeReader interface {
	BrakedMoves(failureDomain string) []string
}

// BrakeSink receives, on a node, the ids of the moves that are braked in its failure domain.
type BrakeSink interface {
	SetBraked(moveIDs []string)
}

// NodeStatusReader provides the status of all known nodes to the operator service.
type NodeStatusReader interface {
	NodeStatuses() []*pb.NodeStatus
}
