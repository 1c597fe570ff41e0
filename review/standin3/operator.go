package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const callTimeout = time.Second

// order sends an order to the control hosts in turn until one accepts it, for at most a time.
func (s *site) order(call string, body any, within time.Duration) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	status := 0
	for deadline, i := time.Now().Add(within), 0; time.Now().Before(deadline); i++ {
		h := s.hosts[i%controlHosts]
		status = post(h.address(offsetControl), call, "", b, callTimeout)
		s.record.log("operator: %s sent to %s, answered with %d: %s", call, h.name, status, b)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s was not accepted: %d", call, status)
}

// Services of the site.
const (
	serviceDesk   = "huvo11a"
	serviceLedger = "wuno96b"
)

// configure sends the first configuration, with one route, which goes to serviceDesk.
func (s *site) configure() error {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
	}
	return s.order("config.replace", map[string]any{
		"version": "r3", wire.Base: "r0",
		"services": []any{service(serviceDesk), service(serviceLedger)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts": []any{map[string]any{"host": routeHost, "paths": []any{map[string]any{
			"name": "r-3d3zji9", "path_prefix": routePrefix, "kind": "idempotent", "timeout": "1200ms", "slo": "400ms", "priority": 2,
			"service": serviceDesk, "max_attempts": 2,
		}}}},
	}, 15*time.Second)
}

// awaitReady waits until the nodes of all hosts are ready.
func (s *site) awaitReady() error {
	for _, h := range s.nodes() {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) awaitReady() error {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.address(offsetReady) + wire.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			h.site.record.log("platform: %s is ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}
