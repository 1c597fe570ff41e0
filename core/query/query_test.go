package query

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var noon = time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)

// Guards against parsing a statement as another one or with wrong values.
func TestParse(t *testing.T) {
	for text, want := range map[string]Statement{
		"show moves":                                 {Show: &Show{View: ViewMoves}},
		"  show revision where applied < 41 ":        {Show: &Show{View: ViewRevision, Conditions: []Condition{{"applied", "<", "41"}}}},
		"show nodes where domain=k1 and lag_s>=3":    {Show: &Show{View: ViewNodes, Conditions: []Condition{{"domain", "=", "k1"}, {"lag_s", ">=", "3"}}}},
		`show history where operator = "night desk"`: {Show: &Show{View: ViewHistory, Conditions: []Condition{{"operator", "=", "night desk"}}}},
		"watch moves":                                {Watch: &Watch{Show: Show{View: ViewMoves}}},
		"watch move m-1":                             {Watch: &Watch{MoveID: "m-1"}},
		"apply fares.json expect 41":                 {Apply: &Apply{File: "fares.json", Expected: 41}},
		"start move bookings from v1 to v2 by 10m":   {Start: &StartMove{"bookings", "v1", "v2", noon.Add(10 * time.Minute)}},
		"start move tills from 1.0 to 1.1 by 11:30":  {Start: &StartMove{"tills", "1.0", "1.1", noon.Add(23*time.Hour + 30*time.Minute)}},
		"hold move m-1":                              {Change: &ChangeMove{pb.MoveAction_MOVE_ACTION_HOLD, "m-1"}},
		"resume move m-1":                            {Change: &ChangeMove{pb.MoveAction_MOVE_ACTION_RESUME, "m-1"}},
		"stop move m-1":                              {Change: &ChangeMove{pb.MoveAction_MOVE_ACTION_STOP, "m-1"}},
		"command 7f3a":                               {Command: "7f3a"},
		"check new.json":                             {Check: &Check{File: "new.json"}},
		`check "new 2.json" against old.json`:        {Check: &Check{File: "new 2.json", Against: "old.json"}},
		"start evacuation of d1":                     {Evacuation: &ChangeEvacuation{"d1", true, 20}},
		`finish  evacuation of "north desk"`:         {Evacuation: &ChangeEvacuation{"north desk", false, 22}},
		"show evacuations where serial>3":            {Show: &Show{View: ViewEvacuations, Conditions: []Condition{{"serial", ">", "3"}}}},
		"show organisations where rate < 9.5":        {Show: &Show{View: ViewOrganisations, Conditions: []Condition{{"rate", "<", "9.5"}}}},
		"show plan":                                  {Show: &Show{View: ViewPlan}},
		"watch rollouts where phase = running":       {Watch: &Watch{Show: Show{View: ViewRollouts, Conditions: []Condition{{"phase", "=", "running"}}}}},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(text, noon)
			is.NoErr(err)
			is.Equal(*got, want)
		})
	}
}

// Guards against errors that point at the wrong word or do not show a valid form.
func TestErrorsPointAtTheWord(t *testing.T) {
	for text, want := range map[string]struct{ word, message, form string }{
		"":                                    {"", "empty", "command COMMAND-ID"},
		"shwo moves":                          {"shwo", `did you mean "show"?`, "show config"},
		"show":                                {"", "ends too early", "show config"},
		"show movse":                          {"movse", "cannot be shown; one of: config, evacuations, history", "show config"},
		"show nodes where colour = red":       {"colour", "no column", "show config"},
		"show nodes where applied < soon":     {"soon", "is a number", "show config"},
		"show nodes where applied":            {"", "ends too early", "show config"},
		"apply fares.json expect x1":          {"x1", "not a revision", "apply changes.json"},
		"apply fares.json expect 0":           {"0", "not a revision", "apply changes.json"},
		"check":                               {"", "ends too early", "check configuration.json"},
		"check a.json b.json":                 {"b.json", "not expected", "check configuration.json"},
		"check a.json against":                {"", "ends too early", "check configuration.json"},
		"chekc a.json":                        {"chekc", `did you mean "check"?`, "check configuration.json"},
		"apply fares.json":                    {"", "ends too early", "apply changes.json"},
		"start bookings from v1 to v2 by 10m": {"bookings", "not expected", "start move"},
		"start move bookings from v1 to v1 by 10m":  {"v1", "both versions", "start move"},
		"start move bookings from v1 to v2 by soon": {"soon", "not a time", "start move"},
		"start move bookings from v1 to v2 by -5m":  {"-5m", "not in the future", "start move"},
		"start move bookings from v1 to v2 by 900h": {"900h", "more than 7 days", "start move"},
		"hold m-1":                    {"m-1", "not expected", "hold move"},
		"stop move m-1 now":           {"now", "not expected", "stop move"},
		"command a b":                 {"b", "not expected", "command"},
		"start evacuation d1":         {"d1", "not expected", "start evacuation of DOMAIN"},
		"start evacuation of":         {"", "ends too early", "start evacuation of DOMAIN"},
		"finish evacuation of d1 now": {"now", "not expected", "finish evacuation of DOMAIN"},
		"finish move m-1":             {"move", "not expected", "finish evacuation of DOMAIN"},
		"stat evacuation of d1":       {"stat", `did you mean "start"?`, "start evacuation of DOMAIN"},
		"finsh evacuation of d1":      {"finsh", `did you mean "finish"?`, "finish evacuation of DOMAIN"},
		"show plan where keys = 1":    {"keys", "no column", "show config"},
		"show moves\nshow all":        {"", "one line", "show config"},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(text, noon)
			is.True(got == nil)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Word, want.word)
			is.True(strings.Contains(e.Message, want.message)) // message
			is.True(strings.Contains(e.Form, want.form))       // form
			lines := strings.Split(e.Error(), "\n")
			is.Equal(strings.Index(lines[2], "^")-2, e.Offset) // the caret is under the word
		})
	}
}

// Guards against a panic, and against an error without a position, for any input.
func TestAnyInput(t *testing.T) {
	words := rapid.SampledFrom([]string{"show", "moves", "where", "applied", "<", "41", "apply", "expect", "start", "move", "from", "to", "by", "10m", "finish", "evacuation", "of", `"`, "é", "\t", "and"})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(words, 0, 9).Draw(t, "words"), " ") + rapid.String().Draw(t, "tail")
		s, err := Parse(text, noon)
		var e *Error
		if (s == nil) == (err == nil) || (err != nil && !errors.As(err, &e)) {
			t.Fatalf("statement %v, error %v", s, err)
		}
		if err != nil {
			_ = err.Error()
		}
	})
}

// Guards against comparing numbers as text, and against unknown values that satisfy a condition.
func TestMatches(t *testing.T) {
	is := is.New(t)
	row := map[string]string{"applied": "9", "domain": "k1", "lag_s": ""}
	for cond, want := range map[Condition]bool{
		{"applied", "<", "41"}: true, {"applied", ">", "41"}: false, {"applied", "=", "9.0"}: true,
		{"applied", "<=", "9"}: true, {"applied", ">=", "10"}: false, {"applied", "!=", "9"}: false,
		{"domain", "=", "k1"}: true, {"domain", "!=", "k1"}: false, {"lag_s", "<", "5"}: false,
	} {
		is.Equal(Show{View: ViewNodes, Conditions: []Condition{cond}}.Matches(row), want) // condition
	}
}
