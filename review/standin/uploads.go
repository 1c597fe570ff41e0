package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadsAtOnce   = 3
	victims         = 2 // machines whose clients upload
	uploadRounds    = 4
	smallBytes      = 4096
	keptConnections = 8 // to each of these machines
	keptWork        = 300 * time.Millisecond
	clientLimit     = 2 * time.Second // time limit of all requests
	contact         = 3 * time.Second
	allowedLosses   = 3 // per machine, as the rule LOST allows
)

// runUploads lets three clients of a machine send bodies of the allowed size at the same time, while others use kept
// connections. Without trouble the bodies are small.
func runUploads(r *recorder, trouble bool) (int, error) {
	s, err := newSite(r, 4, 4)
	if err != nil {
		return couldNot, err
	}
	defer s.close()
	for _, m := range s.machines() {
		m.memoryOn = true
	}
	if err := s.start(); err != nil {
		return couldNot, err
	}
	var backends []*backend
	for _, m := range s.sides {
		b, err := startBackend(m, "v1", func(path string) time.Duration {
			if path == writePath+"upload" {
				return 0
			}
			return keptWork
		})
		if err != nil {
			return couldNot, err
		}
		defer b.close()
		backends = append(backends, b)
	}
	routes := []object{route(readPath, "idempotent", "2000ms"), route(writePath, "non_idempotent", "2000ms")}
	if newOperator(s).order("config.replace", configuration(1, 0, routes, 0, nil), time.Now().Add(20*time.Second), "r1") != http.StatusOK {
		return couldNot, errors.New("the first configuration was not accepted")
	}
	for _, m := range s.sides {
		if !awaitReady(m, 20*time.Second) {
			return couldNot, errors.New("a node is not ready")
		}
	}
	time.Sleep(contact)
	size := smallBytes
	if trouble {
		size = maxBodyBytes
	}
	body := bytes.Repeat([]byte("x"), size)
	done := make(chan struct{})
	var clients, uploaders sync.WaitGroup
	var kept []*keptClient
	for v := range victims {
		for i := range keptConnections {
			k := &keptClient{record: r, machine: s.sides[v], name: fmt.Sprintf("kept-%d-%d", v, i), path: readPath + "page", method: "GET"}
			if i%2 == 0 {
				k.path, k.method = writePath+"page", "POST"
			}
			kept = append(kept, k)
			clients.Go(func() { k.run(done) })
		}
		uploaders.Go(func() {
			for round := range uploadRounds {
				time.Sleep(contact)
				var group sync.WaitGroup
				for i := range uploadsAtOnce {
					group.Go(func() { upload(r, s.sides[v], fmt.Sprintf("upload-%d-%d-%d", v, round, i), body) })
				}
				group.Wait()
				awaitReady(s.sides[v], 10*time.Second)
			}
		})
	}
	uploaders.Wait()
	close(done)
	clients.Wait()
	return judgeUploads(r, s, backends, kept), nil
}

// judgeUploads checks the rule LOST for each machine: a request from a kept connection that a sound back end ran ended
// with a closed connection, more than three times.
func judgeUploads(r *recorder, s *site, backends []*backend, kept []*keptClient) int {
	ran := func(id string) bool {
		for _, b := range backends {
			if b.runs(id) > 0 {
				return true
			}
		}
		return false
	}
	result := held
	for _, m := range s.sides[:victims] {
		lost := 0
		for _, k := range kept {
			for _, u := range k.unanswered {
				if k.machine == m && ran(u.id) {
					lost++
					r.addf("check", "%s: %s was passed on to a back end, and its kept connection was closed without an answer", m.name(), u.id)
				}
			}
		}
		m.mu.Lock()
		r.addf("check", "LOST: %s closed kept connections without an answer to %d requests that back ends ran, at most %d are allowed; it ended by itself %d times, peak memory %d MB",
			m.name(), lost, allowedLosses, len(m.ownEnds), m.peakMB)
		m.mu.Unlock()
		if lost > allowedLosses {
			result = broken
		}
	}
	return result
}

// awaitReady waits until a node says that it accepts requests of clients.
func awaitReady(m *machine, limit time.Duration) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := c.Get("http://" + at(m.ip, portReady) + wire.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// upload sends one request with a body of the given size on a connection of its own.
func upload(r *recorder, m *machine, id string, body []byte) {
	c, err := net.DialTimeout("tcp", at(m.ip, portOutbound), time.Second)
	if err != nil {
		r.addf("client", "%s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(clientLimit))
	r.addf("client", "%s: sends %d bytes to %s", id, len(body), m.ip)
	written := make(chan struct{})
	go func() {
		defer close(written)
		if _, err := io.WriteString(c, requestHeader("POST", writePath+"upload", id, len(body))); err == nil {
			_, _ = c.Write(body) // the answer shows a failure
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.addf("client", "%s: no answer: %v", id, err)
	} else {
		r.addf("client", "%s: answered %d", id, resp.StatusCode)
	}
	_ = c.Close()
	<-written
}

func requestHeader(method, path, id string, length int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, wire.ID, id, clientLimit.Milliseconds())
	if method != "GET" {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return h + "\r\n"
}

// keptClient sends requests one after the other on a connection that it keeps open.
type keptClient struct {
	record             *recorder
	machine            *machine
	name, path, method string
	unanswered         []sentRequest // requests on connections that had carried one before and ended without an answer
}

// sentRequest is a request of a client.
type sentRequest struct {
	id   string
	sent time.Time
}

func (k *keptClient) run(done <-chan struct{}) {
	for connection := 0; ; connection++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", at(k.machine.ip, portOutbound), time.Second)
		if err != nil {
			continue
		}
		k.useConnection(c, connection, done)
		_ = c.Close()
	}
}

func (k *keptClient) useConnection(c net.Conn, connection int, done <-chan struct{}) {
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", k.name, connection, n)
		_ = c.SetDeadline(time.Now().Add(clientLimit + time.Second))
		k.record.addf("client", "%s: %s %s to %s", id, k.method, k.path, k.machine.ip)
		sent := time.Now()
		if _, err := io.WriteString(c, requestHeader(k.method, k.path, id, 0)); err != nil {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			k.record.addf("client", "%s: no answer within its time limit", id)
			return
		case err != nil:
			k.record.addf("client", "%s: the connection ended without an answer: %v", id, err)
			if n > 0 {
				k.unanswered = append(k.unanswered, sentRequest{id: id, sent: sent})
			}
			return
		}
		k.record.addf("client", "%s: answered %d", id, resp.StatusCode)
		if resp.Close {
			return
		}
	}
}
