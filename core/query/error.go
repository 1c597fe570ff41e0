package query

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// Error describes why a statement is invalid. An invalid statement changes nothing.
type Error struct {
	Statement string
	Offset    int // byte offset of the invalid word
	Word      string
	Message   string
	Form      string // a valid form of the statement
}

// Error returns the message, the statement with carets under the invalid word,
// and a valid form.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Message)
	b.WriteString("\n")
	b.WriteString(Point(e.Statement, e.Offset))
	if e.Form != "" {
		b.WriteString("\nvalid form: ")
		b.WriteString(e.Form)
	}
	b.WriteString("\nnothing was changed")
	return b.String()
}

// Point returns a statement and, in a second line, carets under the word at a byte offset.
func Point(text string, offset int) string {
	before := strings.Repeat(" ", utf8.RuneCountInString(text[:min(offset, len(text))]))
	return "  " + text + "\n  " + before + strings.Repeat("^", max(1, utf8.RuneCountInString(wordAt(text, offset))))
}

const (
	startMoveForm       = "start move bookings from v1 to v2 by 10m  (or by 17:30)"
	startEvacuationForm = "start evacuation of DOMAIN"
)

// formSeparator is between the forms of several statements.
const formSeparator = "\n            "

// forms holds a valid form of each statement by its first word.
var forms = map[string]string{
	"show": "show config|services|routes|nodes|revision|members|moves|history|evacuations|organisations|plan|rollouts" +
		" [where applied < 41 [and ...]]",
	"watch":   "watch moves [where ...]  or  watch move MOVE-ID",
	"check":   "check configuration.json [against other.json]",
	"apply":   "apply changes.json expect 41",
	"start":   startMoveForm + formSeparator + startEvacuationForm,
	"finish":  "finish evacuation of DOMAIN",
	"hold":    "hold move MOVE-ID",
	"resume":  "resume move MOVE-ID",
	"stop":    "stop move MOVE-ID",
	"command": "command COMMAND-ID",
}

// startForms holds the forms of the statements that begin with start, by their second word.
var startForms = map[string]string{"move": startMoveForm, "evacuation": startEvacuationForm}

// Forms returns a valid form of each statement, in alphabetical order.
func Forms() []string {
	out := make([]string, 0, len(forms))
	for _, f := range forms {
		out = append(out, strings.Split(f, formSeparator)...)
	}
	slices.Sort(out)
	return out
}

// newError returns an error at a byte offset with a valid form of the statement
// that the first word of text names or resembles, or else the forms of all statements.
func newError(text string, offset int, message string) *Error {
	e := &Error{Statement: text, Offset: offset, Word: wordAt(text, offset), Message: message}
	first, rest, _ := strings.Cut(text, " ")
	second, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if forms[first] == "" {
		first = closestWord(first, firstWords())
	}
	switch {
	case first == "start" && startForms[second] != "":
		e.Form = startForms[second]
	case first != "":
		e.Form = forms[first]
	default:
		e.Form = strings.Join(Forms(), formSeparator)
	}
	return e
}

// firstWords returns the first words of all statements, in alphabetical order.
func firstWords() []string {
	out := make([]string, 0, len(forms))
	for k := range forms {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// wordAt returns the text from a byte offset to the next blank.
func wordAt(text string, offset int) string {
	if offset >= len(text) {
		return ""
	}
	remainder := text[offset:]
	if i := strings.IndexAny(remainder, " \t"); i >= 0 {
		return remainder[:i]
	}
	return remainder
}

// maxTypos is the maximum edit distance at which a known word is suggested.
const maxTypos = 2

// closestWord returns the known word with the smallest edit distance of at most
// maxTypos, or "".
func closestWord(word string, known []string) string {
	best, bestDistance := "", maxTypos+1
	slices.Sort(known)
	for _, k := range known {
		if d := editDistance(word, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b, counted in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
