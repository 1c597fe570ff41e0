package ports

import (
	"context"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// ReportSender sends outcome counts from a node to the relay that it uses.
type ReportSender interface {
	SendReports(ctx context.Context, reports []*pb.OutcomeReport) error
}

// ReportSink takes outcome counts that reach a control host.
type ReportSink interface {
	TakeReports(reports []*pb.OutcomeReport)
}

// BrakeReader tells a relay which moves are braked in a failure domain.
type BrakeReader interface {
	BrakedMoves(failureDomain string) []string
}

// BrakeSink tells a node which moves its failure domain has braked.
type BrakeSink interface {
	SetBraked(moveIDs []string)
}

// NodeStatusReader gives the operator service what is known of the nodes.
type NodeStatusReader interface {
	NodeStatuses() []*pb.NodeStatus
}
