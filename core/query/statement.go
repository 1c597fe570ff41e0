package query

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Statement is one parsed statement; exactly one field is set. Show, Watch, Check and
// Command read; the others submit a command.
type Statement struct {
	Show    *Show
	Watch   *Watch
	Apply   *Apply
	Start   *StartMove
	Change  *ChangeMove
	Check   *Check
	Command string // id of a command whose result is looked up

	Evacuation *ChangeEvacuation
}

// View is the name of a table that a statement shows.
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

	// Views of the users' platform.
	ViewEvacuations   View = "evacuations"
	ViewOrganisations View = "organisations"
	ViewPlan          View = "plan"
	ViewRollouts      View = "rollouts"
)

// Show prints a view once.
type Show struct {
	View       View
	Conditions []Condition
}

// Watch prints the changes of a view until the operator stops it, or those of
// one move until it ends.
type Watch struct {
	MoveID string // set for "watch move ID"
	Show   Show   // set otherwise
}

// Condition compares the value of a column with a constant.
type Condition struct {
	Field    string // name of the column
	Operator string // =, !=, <, <=, >, >=
	Value    string
}

// Apply submits a file of configuration changes.
type Apply struct {
	File     string
	Expected uint64 // revision that the changes are based on
}

// Check checks a file with a plan before it is sent.
type Check struct {
	File    string
	Against string // file to compare it with; "": the plan in force, if there are control hosts
}

// StartMove moves the calls of a service from the old version to the new one.
type StartMove struct {
	Service, OldVersion, NewVersion string
	Deadline                        time.Time
}

// ChangeMove holds, resumes or stops a move.
type ChangeMove struct {
	Action pb.MoveAction
	MoveID string
}

// ChangeEvacuation starts or finishes the evacuation of a failure domain.
type ChangeEvacuation struct {
	Domain string
	Active bool // true: start
	Offset int  // byte offset of the domain in the statement, which an error of the control host refers to
}
