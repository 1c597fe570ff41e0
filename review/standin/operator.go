package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders as the platform's operator does: to one control machine after the other, each for a second.
type operator struct {
	site   *site
	client *http.Client
	next   int // index of the control machine that is asked next
	record bool
}

func newOperator(s *site) *operator {
	return &operator{site: s, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, record: true}
}

// call sends one call to one control machine. Status 0 stands for no response.
func (o *operator) call(ip, name, of string, body []byte) (int, []byte) {
	url := fmt.Sprintf("http://%s%s?call=%s", at(ip, portControl), wire.RPCPath, name)
	if of != "" {
		url += "&of=" + of
	}
	resp, err := o.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// order sends an order until it has a clear answer, which it returns, or until the time is over; then it returns 0.
func (o *operator) order(name string, body []byte, until time.Time, note string) int {
	pause := 20 * time.Millisecond
	for time.Now().Before(until) {
		m := o.site.cores[o.next%len(o.site.cores)]
		status, answer := o.call(m.ip, name, "", body)
		if o.record || status != http.StatusOK {
			o.site.record.addf("operator", "%s %s to %s: %d %.120s", name, note, m.ip, status, bytes.TrimSpace(answer))
		}
		switch status {
		case 200, 400, 409, 412, 413, 422:
			return status
		}
		o.next++
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0
}

// object is a JSON object.
type object = map[string]any

// configuration returns a configuration of one service with the routes of a case, and idle routes besides.
func configuration(version, base uint64, routes []object, idle int, name func(i int) string) []byte {
	paths := append([]object{}, routes...)
	hosts := []object{{"host": hostName, "paths": paths}}
	var more []object
	for i := range idle {
		n := name(i)
		more = append(more, object{
			"name": "r-" + n, "path_prefix": "/" + n + "/", "kind": "idempotent", "timeout": "1200ms", "slo": "400ms", "priority": 2,
			"service": serviceName, "max_attempts": 2,
		})
	}
	if len(more) > 0 {
		hosts = append(hosts, object{"host": "idle.example", "paths": more})
	}
	b, err := json.Marshal(object{
		"version": fmt.Sprint("r", version), wire.Base: fmt.Sprint("r", base),
		"services": []object{{"name": serviceName, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts":    hosts,
	})
	if err != nil {
		panic(err) // cannot happen: the value is built above
	}
	return b
}

const (
	hostName     = "ficu95.example"
	maxBodyBytes = 67108864 // as in the example of PROTOCOL.md
	readPath     = "/lohu930/"
	writePath    = "/pufi791/"
)

// route returns a route of the configuration.
func route(path, kind, timeout string) object {
	return object{
		"name": "r-" + path[1:len(path)-1], "path_prefix": path, "kind": kind, "timeout": timeout, "slo": "500ms", "priority": 1,
		"service": serviceName, "max_attempts": 2,
	}
}

// readVersion returns the version that a control machine reports, "" for none.
func (o *operator) readVersion(ip string) (version string, status int) {
	status, body := o.call(ip, "config.get", "", nil)
	var out struct {
		Version string `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &out) != nil {
		return "", status
	}
	return out.Version, status
}
