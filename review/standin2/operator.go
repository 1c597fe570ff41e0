package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// configuration is what an operator sends, with its routes rendered.
type configuration struct {
	number, base int
	services     []string
	routes       []string
}

// randomName returns a name like those of the platform, which are drawn anew each day.
func randomName(r *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[r.IntN(36)]
	}
	return string(b)
}

// idleRoute returns a route that gets no traffic, with a host of its own.
func idleRoute(r *rand.Rand, service string) string {
	return fmt.Sprintf(`{"host":"%s.example","paths":[{"name":"r-%s","path_prefix":"/%s/","kind":"idempotent","timeout":"1200ms","slo":"400ms","priority":2,"service":%q,"max_attempts":2}]}`,
		randomName(r, 12), randomName(r, 12), randomName(r, 24), service)
}

// body returns the body of config.replace.
func (c *configuration) body() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":"r%d","services":[`, c.number)
	for i, s := range c.services {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":%q,"health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}`, s)
	}
	fmt.Fprintf(&b, `],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},%q:"r%d","hosts":[`, wire.Base, c.base)
	for i, r := range c.routes {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// operator calls the control hosts, one after the other until one gives a clear answer.
type operator struct {
	addresses []string
	client    *http.Client
	next      int
}

func newOperator(addresses []string) *operator {
	return &operator{addresses: addresses, client: &http.Client{Timeout: 3 * time.Second}}
}

// call posts a body and returns the status and body of the first clear answer, or 0 when the time is over.
func (o *operator) call(call string, body []byte, limit time.Duration) (int, []byte) {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		address := o.addresses[o.next%len(o.addresses)]
		resp, err := o.client.Post(callURL(address, call), "application/json", bytes.NewReader(body))
		if err == nil {
			answer, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if readErr == nil && resp.StatusCode < 500 && resp.StatusCode != 408 && resp.StatusCode != 429 {
				return resp.StatusCode, answer
			}
		}
		o.next++
		time.Sleep(20 * time.Millisecond)
	}
	return 0, nil
}
