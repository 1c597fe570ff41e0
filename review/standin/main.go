// Command standin runs the cases of the review: it starts the project's programs as separate processes on loopback
// addresses, with stand-ins for the platform, its operator, clients and back ends.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longestRun bounds a case, which may run for 120 s.
const longestRun = 117 * time.Second

var cases = map[string]func(r *recorder, trouble bool) (int, error){
	"replaced": runReplaced,
	"removed":  runRemoved,
	"uploads":  runUploads,
	"stale":    runStale,
	"orders":   runOrders,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return couldNot
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		status, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		done <- result{status, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var out result
	select {
	case out = <-done:
	case s := <-signals:
		closeSites()
		out = result{couldNot, fmt.Errorf("ended by %v", s)}
	case <-time.After(longestRun):
		closeSites()
		out = result{couldNot, fmt.Errorf("not finished after %v", longestRun)}
	}
	if out.err != nil {
		r.add("case", "could not run: "+out.err.Error())
		fmt.Fprintln(os.Stderr, os.Args[1]+": could not run:", out.err)
		return couldNot
	}
	text := "the rule held"
	if out.status == broken {
		text = "the rule was broken"
	}
	r.add("case", text)
	fmt.Println(os.Args[1]+":", text)
	return out.status
}
