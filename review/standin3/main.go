package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each gets a site without processes and whether to cause the disruption.
var cases = map[string]func(s *site, trouble bool) error{
	"departed":   runDeparted,
	"powerloss":  runPowerLoss,
	"stalegroup": runStaleGroup,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 departed|powerloss|stalegroup RECORD")
		return exitFailed
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "review-"+os.Args[1]+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := filepath.Abs(filepath.Join("target", "rattanfield-platform"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s, err := newSite(program, dir, record)
	if err != nil {
		record.log("could not run: %v", err)
		return exitFailed
	}
	err = cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	s.stop()
	switch {
	case err == nil:
		record.log("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.log("%v", err)
		return exitBroken
	}
	record.log("could not run: %v", err)
	return exitFailed
}
