package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(c *caseRun) (broken bool, err error){
	"memory":    manyChanges,
	"times":     timesInSeconds,
	"unordered": newVersion,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		return exitNotRun
	}
	c, err := newCaseRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	broken, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		c.record("the case could not run: %v", err)
		return exitNotRun
	case broken:
		c.record("result: the rule was broken")
		return exitBroken
	}
	c.record("result: the rule held")
	return exitHeld
}
