package query

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// MaxStatementBytes is the maximum length of a statement, which is one short line.
const MaxStatementBytes = 4096

// MaxDeadline is the maximum time until the deadline of a move. A later deadline
// is taken for a mistake in the unit, such as 200h for 200m.
const MaxDeadline = 7 * 24 * time.Hour

// Parse parses and checks one statement. Relative and clock times of a deadline
// are resolved against now. The error is an *Error.
func Parse(text string, now time.Time) (*Statement, error) {
	text = strings.TrimSpace(text)
	if len(text) > MaxStatementBytes {
		return nil, &Error{Statement: text[:60] + "…", Message: fmt.Sprintf("the statement is longer than %d bytes", MaxStatementBytes)}
	}
	if strings.ContainsAny(text, "\r\n") {
		i := strings.IndexAny(text, "\r\n")
		return nil, newError(text[:i], i, "one statement is one line")
	}
	g, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	c := checker{text: text, now: now}
	s := c.statement(g)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// syntaxError returns the error for a text that the parser rejected. It refers to
// the first word that the parser did not expect.
func syntaxError(text string, err error) *Error {
	offset := len(text)
	var located participle.Error
	if errors.As(err, &located) {
		offset = located.Position().Offset
	}
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) && unexpected.Unexpected.EOF() {
		offset = len(text)
	}
	word, message := wordAt(text, offset), ""
	switch {
	case text == "":
		message = "the statement is empty"
	case offset >= len(text):
		message = "the statement ends too early"
	case offset == 0:
		message = fmt.Sprintf("%q is not a statement", word)
		if closest := closestWord(word, firstWords()); closest != "" {
			message += fmt.Sprintf("; did you mean %q?", closest)
		}
	default:
		message = fmt.Sprintf("%q is not expected here", word)
	}
	return newError(text, offset, message)
}

// checker builds a Statement from its syntax and checks the names and values in it.
type checker struct {
	text string
	now  time.Time
	err  error // first error
}

// fail records an error at a position, unless there is one already.
func (c *checker) fail(at lexer.Position, format string, args ...any) {
	if c.err == nil {
		c.err = newError(c.text, at.Offset, fmt.Sprintf(format, args...))
	}
}

func (c *checker) statement(g *grammar) *Statement {
	switch {
	case g.Show != nil:
		show := c.show(g.Show.Subject, g.Show.Conditions)
		return &Statement{Show: &show}
	case g.Watch != nil:
		if g.Watch.MoveID != nil {
			return &Statement{Watch: &Watch{MoveID: g.Watch.MoveID.Text}}
		}
		return &Statement{Watch: &Watch{Show: c.show(*g.Watch.Subject, g.Watch.Conditions)}}
	case g.Apply != nil:
		return &Statement{Apply: &Apply{File: g.Apply.File.Text, Expected: c.revision(g.Apply.Expected)}}
	case g.Start != nil:
		return &Statement{Start: c.start(g.Start)}
	case g.Begin != nil:
		return &Statement{Evacuation: evacuation(g.Begin, true)}
	case g.Finish != nil:
		return &Statement{Evacuation: evacuation(g.Finish, false)}
	case g.Change != nil:
		return &Statement{Change: &ChangeMove{Action: actions[g.Change.Action], MoveID: g.Change.MoveID.Text}}
	case g.Check != nil:
		out := &Check{File: g.Check.File.Text}
		if against := g.Check.Against; against != nil {
			out.Against = against.Text
		}
		return &Statement{Check: out}
	default:
		return &Statement{Command: g.Command.Text}
	}
}

var actions = map[string]pb.MoveAction{
	"hold":   pb.MoveAction_MOVE_ACTION_HOLD,
	"resume": pb.MoveAction_MOVE_ACTION_RESUME,
	"stop":   pb.MoveAction_MOVE_ACTION_STOP,
}

func (c *checker) show(subject word, conditions []conditionGrammar) Show {
	view := View(subject.Text)
	columns, known := Columns[view]
	if !known {
		c.fail(subject.Pos, "%q cannot be shown; one of: %s", subject.Text, joinViews())
	}
	s := Show{View: view}
	for _, g := range conditions {
		i := slices.IndexFunc(columns, func(col Column) bool { return col.Name == g.Field.Text })
		if i < 0 {
			c.fail(g.Field.Pos, "%s has no column %q; one of: %s", view, g.Field.Text, joinColumns(columns))
			continue
		}
		if columns[i].Number {
			if _, err := strconv.ParseFloat(g.Value.Text, 64); err != nil {
				c.fail(g.Value.Pos, "%s is a number, %q is not", g.Field.Text, g.Value.Text)
			}
		}
		s.Conditions = append(s.Conditions, Condition{Field: g.Field.Text, Operator: g.Operator, Value: g.Value.Text})
	}
	return s
}

func evacuation(g *domainGrammar, active bool) *ChangeEvacuation {
	return &ChangeEvacuation{Domain: g.Domain.Text, Active: active, Offset: g.Domain.Pos.Offset}
}

func (c *checker) revision(w word) uint64 {
	n, err := strconv.ParseUint(w.Text, 10, 64)
	if err != nil || n == 0 {
		c.fail(w.Pos, "%q is not a revision: a whole number from 1, as `show revision` prints it", w.Text)
	}
	return n
}

func (c *checker) start(g *startGrammar) *StartMove {
	if g.Old.Text == g.New.Text {
		c.fail(g.New.Pos, "both versions are %q", g.New.Text)
	}
	return &StartMove{
		Service: g.Service.Text, OldVersion: g.Old.Text, NewVersion: g.New.Text,
		Deadline: c.deadline(g.By),
	}
}

// deadline parses a duration, an RFC 3339 time, or a clock time of today or, when
// that has passed, of tomorrow.
func (c *checker) deadline(w word) time.Time {
	var at time.Time
	if d, err := time.ParseDuration(w.Text); err == nil {
		at = c.now.Add(d)
	} else if t, err := time.Parse(time.RFC3339, w.Text); err == nil {
		at = t
	} else if t, ok := clockTime(w.Text, c.now); ok {
		at = t
	} else {
		c.fail(w.Pos, "%q is not a time: write a duration such as 10m or a clock time such as 17:30", w.Text)
		return at
	}
	switch d := at.Sub(c.now); {
	case d <= 0:
		c.fail(w.Pos, "the deadline %s is not in the future", w.Text)
	case d > MaxDeadline:
		c.fail(w.Pos, "the deadline %s is more than %d days away", w.Text, MaxDeadline/(24*time.Hour))
	}
	return at
}

// clockTime returns the next time after now at which the clock shows the time in text.
func clockTime(text string, now time.Time) (time.Time, bool) {
	for _, layout := range []string{"15:04", "15:04:05"} {
		t, err := time.Parse(layout, text)
		if err != nil {
			continue
		}
		y, m, d := now.Date()
		at := time.Date(y, m, d, t.Hour(), t.Minute(), t.Second(), 0, now.Location())
		if !at.After(now) {
			at = time.Date(y, m, d+1, t.Hour(), t.Minute(), t.Second(), 0, now.Location())
		}
		return at, true
	}
	return time.Time{}, false
}
