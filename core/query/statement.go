package query

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Statement is one parsed statement; exactly one field is set.
type Statement struct {
	Show    *Show
	Watch   *Watch
	Apply   *Apply
	Start   *StartMove
	Change  *ChangeMove
	Command string // command id to look up
}

// View names what a query shows.
type View string

// Views of the show and watch statements.
const (
	ViewConfig   View = "config"
	ViewServices View = "services"
	ViewRoutes   View = "routes"
	ViewNodes    View = "nodes"
	ViewRevision View = "revision"
	ViewMembers  View = "members"
	ViewMoves    View = "moves"
	ViewHistory  View = "history"
)

// Show asks once.
type Show struct {
	View       View
	Conditions []Condition
}

// Watch shows changes until a move ends or the operator stops it.
type Watch struct {
	MoveID string // set for "watch move ID"
	Show   Show   // otherwise
}

// Condition compares a column with a value.
type Condition struct {
	Field    string
	Operator string // =, !=, <, <=, >, >=
	Value    string
}

// Apply submits a file of configuration changes.
type Apply struct {
	File     string
	Expected uint64 // revision that the changes are based on
}

// StartMove asks for a move of a service's traffic.
type StartMove struct {
	Service, OldVersion, NewVersion string
	Deadline                        time.Time
}

// ChangeMove holds, resumes or stops a move.
type ChangeMove struct {
	Action pb.MoveAction
	MoveID string
}
