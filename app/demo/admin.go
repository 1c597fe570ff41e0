package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rattanfield/rattanfield/adapters/response"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/simupstream"
)

const (
	adminTimeout = 2 * time.Second
	pollInterval = 5 * time.Millisecond
)

// admin is a client of the admin listeners of the processes.
type admin struct {
	client *http.Client
}

func newAdmin() *admin {
	return &admin{client: &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DialContext: response.DialContext}}}
}

func (a *admin) get(ctx context.Context, url string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	reply, err := a.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	return reply.StatusCode, body, err
}

// waitReady polls /readyz until it answers 200. When the context ends first, the
// error holds the last answer.
func (a *admin) waitReady(ctx context.Context, address string) error {
	last := "no answer"
	for {
		status, body, err := a.get(ctx, "http://"+address+"/readyz")
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil:
			last = strings.TrimSpace(string(body))
		case ctx.Err() == nil:
			last = err.Error()
		}
		if !lifecycle.Pause(ctx, 10*pollInterval) {
			return fmt.Errorf("%s is not ready: %s", address, last)
		}
	}
}

// revision returns the configuration revision that a node has applied.
func (a *admin) revision(ctx context.Context, address string) (uint64, error) {
	_, body, err := a.get(ctx, "http://"+address+"/v1/status")
	if err != nil {
		return 0, err
	}
	var status struct {
		Detail struct {
			Revision uint64 `json:"revision"`
		} `json:"detail"`
	}
	err = json.Unmarshal(body, &status)
	return status.Detail.Revision, err
}

// linkBytes returns the number of bytes that a process exchanged with others, in both
// directions, over one link class, or over all link classes when link is empty.
func (a *admin) linkBytes(ctx context.Context, address, link string) (float64, error) {
	_, body, err := a.get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return 0, err
	}
	total := 0.0
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, "rattanfield_link_bytes_total{") || !strings.Contains(line, `link="`+link) {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %q: %w", address, line, err)
		}
		total += value
	}
	return total, nil
}

// executions returns the requests that an upstream has run.
func (a *admin) executions(ctx context.Context, address string) (simupstream.ExecutionReport, error) {
	var r simupstream.ExecutionReport
	_, body, err := a.get(ctx, "http://"+address+"/v1/executions")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}
