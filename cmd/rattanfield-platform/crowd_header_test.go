package main

import (
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// The limit of descriptors is above the connections of the crowd, so that memory alone bounds what they get.
const (
	headerMaxFiles  = 600
	headerOpenFiles = headerMaxFiles - 200 // see crowdOpenFiles
)

// Guards against requests of legal size that are made of very many header lines and that end a process, or make it stop
// answering, because the decoded lines take many times the memory of the header.
func TestCrowdOfHeaderLines(t *testing.T) {
	m := startMesh(t, meshOptions{memoryMB: crowdMemoryMB, bodyBytes: crowdBodyBytes, maxFiles: headerMaxFiles})
	head := "POST " + platformtest.LongWritePath + "page HTTP/1.1\r\nHost: " + platformtest.HostName + "\r\n"
	post := func(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" }
	serves := func() bool { return m.get("page", m.nextID()) == http.StatusOK }
	entry := crowdTarget{"entry", platformtest.EntryAddress(m.node), head, m.nodeProcess, serves, headerOpenFiles}
	fillers := requesttest.HeaderFillers()
	for _, name := range slices.Sorted(maps.Keys(fillers)) {
		t.Run("in calm, "+name, func(t *testing.T) {
			if !reached(func() bool {
				return sendRaw(entry.address, head+fillers[name]+"Content-Length: 0\r\n\r\n") == "HTTP/1.1 200 OK"
			}) {
				t.Error("a single request with a legal header is not served")
			}
		})
	}
	for _, target := range []crowdTarget{entry, {"gate", platformtest.GateAddress(m.node), head, m.nodeProcess, serves, headerOpenFiles}} {
		t.Run(target.name, func(t *testing.T) {
			for _, name := range slices.Sorted(maps.Keys(fillers)) {
				testCrowdForms(t, target, requesttest.HeaderForms(name, fillers[name]))
			}
		})
	}
	for _, target := range []crowdTarget{
		{"announcements", platformtest.ControlAddress(m.node), post(platformtest.CallPath("instances.heartbeat", "j")), m.nodeProcess, m.announce, headerOpenFiles},
		{"readiness", platformtest.ReadyAddress(m.node), post(platformtest.ReadyPath), m.nodeProcess, func() bool { return platformtest.Ready(m.node) }, headerOpenFiles},
		{"metrics", platformtest.MetricsAddress(m.node), post("/metrics"), m.nodeProcess, serves, headerOpenFiles},
		{"operators", platformtest.ControlAddress(m.control), post(platformtest.CallPath("config.get", "")), m.controlProcess, func() bool {
			return platformtest.ReadPlan(m.control) == 1
		}, headerOpenFiles},
	} {
		t.Run(target.name, func(t *testing.T) {
			for _, name := range slices.Sorted(maps.Keys(fillers)) {
				testCrowdForms(t, target, []requesttest.CrowdForm{requesttest.HeaderFormThatStopsShort(name, fillers[name])})
			}
		})
	}
}

// sendRaw sends the bytes of a request on a new connection and returns the status line of the answer, or "".
func sendRaw(address, request string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(platformtest.LongTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		return ""
	}
	line := make([]byte, len("HTTP/1.1 200 OK"))
	if _, err := io.ReadFull(c, line); err != nil {
		return ""
	}
	return string(line)
}
