package query

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// grammar is the syntax of a statement. It accepts any word as the name of a
// view or a column and as a time; checker verifies these, so that its errors can
// list the allowed values.
type grammar struct {
	Show    *showGrammar   `parser:"'show' @@"`
	Watch   *watchGrammar  `parser:"| 'watch' @@"`
	Apply   *applyGrammar  `parser:"| 'apply' @@"`
	Start   *startGrammar  `parser:"| 'start' 'move' @@"`
	Begin   *domainGrammar `parser:"| 'start' 'evacuation' @@"`
	Finish  *domainGrammar `parser:"| 'finish' 'evacuation' @@"`
	Change  *changeGrammar `parser:"| @@"`
	Command *word          `parser:"| 'command' @@"`
	Check   *checkGrammar  `parser:"| 'check' @@"`
}

type word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word|String)"`
}

type showGrammar struct {
	Subject    word               `parser:"@@"`
	Conditions []conditionGrammar `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

type watchGrammar struct {
	MoveID     *word              `parser:"'move' @@"`
	Subject    *word              `parser:"| @@"`
	Conditions []conditionGrammar `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

type conditionGrammar struct {
	Field    word   `parser:"@@"`
	Operator string `parser:"@Compare"`
	Value    word   `parser:"@@"`
}

type applyGrammar struct {
	File     word `parser:"@@"`
	Expected word `parser:"'expect' @@"`
}

type checkGrammar struct {
	File    word  `parser:"@@"`
	Against *word `parser:"( 'against' @@ )?"`
}

type startGrammar struct {
	Service word `parser:"@@"`
	Old     word `parser:"'from' @@"`
	New     word `parser:"'to' @@"`
	By      word `parser:"'by' @@"`
}

// domainGrammar names the failure domain of an evacuation.
type domainGrammar struct {
	Domain word `parser:"'of' @@"`
}

type changeGrammar struct {
	Action string `parser:"@('hold'|'resume'|'stop')"`
	MoveID word   `parser:"'move' @@"`
}

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Compare", Pattern: `<=|>=|!=|=|<|>`},
	{Name: "Word", Pattern: `[^\s<>=!"]+`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "Other", Pattern: `.`},
})

var parser = participle.MustBuild[grammar](
	participle.Lexer(statementLexer),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)
