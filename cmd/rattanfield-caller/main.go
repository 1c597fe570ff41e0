// Command rattanfield-caller is a load generator: it sends calls at a fixed rate and
// prints outcomes and latencies, as a table to standard error and as JSON to standard
// output.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/rattanfield/rattanfield/adapters/telemetry"
	"github.com/rattanfield/rattanfield/app/loadgen"
)

type arguments struct {
	Entry         []string      `arg:"required,separate" help:"entry address IP:port; repeat for more"`
	Direct        []string      `arg:"separate" help:"upstream address for paired direct calls; repeat for more"`
	DirectEvery   int           `arg:"--direct-every" default:"10" help:"pair every nth call without a key"`
	Rate          float64       `default:"100" help:"calls per second"`
	Duration      time.Duration `default:"10s"`
	Warmup        time.Duration `help:"initial time excluded from the latency figures"`
	Timeout       time.Duration `default:"2s"`
	Route         []string      `arg:"separate" help:"METHOD:PATH[:WEIGHT[:key]], e.g. POST:/fares:1:key; repeat for more"`
	Tenant        []string      `arg:"separate" help:"NAME[:WEIGHT]; repeat for more"`
	Host          string        `help:"Host header"`
	ResendShare   float64       `arg:"--resend-share" help:"share of keyed calls that are sent again through another entry"`
	ResponseBytes int           `arg:"--response-bytes" default:"512"`
	BodyBytes     int           `arg:"--body-bytes" help:"body of requests that are not GET"`
	Seed          uint64        `default:"1"`
	Check         bool          `help:"check the arguments and exit"`
}

// Description returns the first line of the help.
func (arguments) Description() string {
	return "rattanfield-caller sends calls at a rate and verifies the responses."
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "rattanfield-caller " + telemetry.Version() }

func main() {
	var a arguments
	p := arg.MustParse(&a)
	o, err := options(a)
	if err != nil {
		p.Fail(err.Error())
	}
	if a.Check {
		fmt.Println("arguments are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := loadgen.Run(ctx, o, nil)
	if err := s.WriteTable(os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-caller:", err)
	}
	if err := s.WriteJSON(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rattanfield-caller:", err)
		os.Exit(1)
	}
	if s.All.Corrupt > 0 {
		os.Exit(1)
	}
}

// options converts the arguments to options of the load generator and validates them.
func options(a arguments) (loadgen.Options, error) {
	o := loadgen.Options{
		Entries: a.Entry, Direct: a.Direct, DirectEvery: a.DirectEvery, Rate: a.Rate, Duration: a.Duration,
		Warmup: a.Warmup, Timeout: a.Timeout, Host: a.Host, ResendShare: a.ResendShare,
		ResponseBytes: a.ResponseBytes, Seed: a.Seed,
	}
	if a.Rate <= 0 || a.Duration <= 0 || a.Timeout <= 0 {
		return o, fmt.Errorf("--rate, --duration and --timeout must be above 0")
	}
	for _, text := range a.Route {
		r, err := parseRoute(text, a.BodyBytes)
		if err != nil {
			return o, err
		}
		o.Routes = append(o.Routes, r)
	}
	for _, text := range a.Tenant {
		name, weight, found := strings.Cut(text, ":")
		n := 1
		if found {
			var err error
			if n, err = strconv.Atoi(weight); err != nil || n < 1 {
				return o, fmt.Errorf("--tenant %q: expected NAME[:WEIGHT] with a weight of at least 1", text)
			}
		}
		o.Tenants = append(o.Tenants, loadgen.Tenant{Name: name, Weight: n})
	}
	return o, nil
}

// parseRoute parses METHOD:PATH[:WEIGHT[:key]]. Routes other than GET send bodies of the
// given size in bytes.
func parseRoute(text string, bodyBytes int) (loadgen.Route, error) {
	invalid := fmt.Errorf("--route %q: expected METHOD:PATH[:WEIGHT[:key]], e.g. POST:/fares:1:key", text)
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 4 || !strings.HasPrefix(parts[1], "/") {
		return loadgen.Route{}, invalid
	}
	r := loadgen.Route{Method: strings.ToUpper(parts[0]), Path: parts[1], Weight: 1}
	if r.Method != "GET" {
		r.BodyBytes = bodyBytes
	}
	if len(parts) > 2 {
		n, err := strconv.Atoi(parts[2])
		if err != nil || n < 1 {
			return r, invalid
		}
		r.Weight = n
	}
	if len(parts) > 3 {
		if parts[3] != "key" {
			return r, invalid
		}
		r.Keyed = true
	}
	return r, nil
}
