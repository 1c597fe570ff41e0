package query

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Column is a column of a view.
type Column struct {
	Name   string
	Number bool // compared as a number
}

// Columns lists the columns of each view in the order of the table. A condition
// refers to a column by its name.
var Columns = map[View][]Column{
	ViewConfig:   {{Name: "kind"}, {Name: "name"}, {Name: "content"}},
	ViewServices: {{Name: "service"}, {Name: "active"}, {Name: "uses"}, {Name: "slots", Number: true}, {Name: "risk"}, {Name: "move"}},
	ViewRoutes:   {{Name: "route"}, {Name: "host"}, {Name: "prefix"}, {Name: "methods"}, {Name: "service"}, {Name: "idempotent"}, {Name: "class"}},
	ViewNodes: {
		{Name: "node"},
		{Name: "region"},
		{Name: "domain"},
		{Name: "state"},
		{Name: "service"},
		{Name: "version"},
		{Name: "applied", Number: true},
		{Name: "lag_s", Number: true},
	},
	ViewRevision: {{Name: "node"}, {Name: "domain"}, {Name: "applied", Number: true}, {Name: "accepted", Number: true}, {Name: "lag_s", Number: true}},
	ViewMembers: {
		{Name: "member"},
		{Name: "address"},
		{Name: "domain"},
		{Name: "role"},
		{Name: "voter"},
		{Name: "match", Number: true},
		{Name: "contact_ms", Number: true},
	},
	ViewMoves: {
		{Name: "move"},
		{Name: "service"},
		{Name: "from"},
		{Name: "to"},
		{Name: "phase"},
		{Name: "share", Number: true},
		{Name: "step", Number: true},
		{Name: "deadline"},
		{Name: "reason"},
	},
	ViewHistory:     {{Name: "revision", Number: true}, {Name: "at"}, {Name: "operator"}, {Name: "command"}, {Name: "summary"}, {Name: "reason"}},
	ViewEvacuations: {{Name: "domain"}, {Name: "state"}, {Name: "serial", Number: true}, {Name: "since"}},
	ViewOrganisations: {
		{Name: "name"},
		{Name: "keys", Number: true},
		{Name: "hashes"},
		{Name: "priority", Number: true},
		{Name: "rate", Number: true},
		{Name: "burst", Number: true},
		{Name: "regions"},
	},
	ViewPlan: {
		{Name: "number", Number: true},
		{Name: "serial", Number: true},
		{Name: "routes", Number: true},
		{Name: "services", Number: true},
		{Name: "organisations", Number: true},
		{Name: "digest"},
	},
	ViewRollouts: {{Name: "service"}, {Name: "phase"}, {Name: "share", Number: true}, {Name: "target"}},
}

func joinViews() string {
	var names []string
	for v := range Columns {
		names = append(names, string(v))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func joinColumns(columns []Column) string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.Name
	}
	return strings.Join(names, ", ")
}

// Matches reports whether a row, by column name, satisfies every condition.
func (s Show) Matches(row map[string]string) bool {
	for _, c := range s.Conditions {
		if !c.matches(row[c.Field], s.isNumber(c.Field)) {
			return false
		}
	}
	return true
}

func (s Show) isNumber(field string) bool {
	return slices.ContainsFunc(Columns[s.View], func(c Column) bool { return c.Name == field && c.Number })
}

func (c Condition) matches(value string, number bool) bool {
	order := cmp.Compare(value, c.Value)
	if number {
		a, errA := strconv.ParseFloat(value, 64)
		b, errB := strconv.ParseFloat(c.Value, 64)
		if errA != nil || errB != nil {
			return false // an unknown value satisfies no comparison
		}
		order = cmp.Compare(a, b)
	}
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}
