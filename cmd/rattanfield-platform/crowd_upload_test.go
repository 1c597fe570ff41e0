package main

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"testing"

	"github.com/rattanfield/rattanfield/adapters/request/requesttest"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Limits of the processes that a crowd with bodies of the largest legal size meets. The descriptors are fewer than the connections
// of the crowd need at the entry.
const (
	uploadBytes     = 64 << 20
	uploadMaxFiles  = 600
	uploadOpenFiles = uploadMaxFiles - 200 // see crowdOpenFiles
)

// uploadForms are the forms of the crowd that hold the most memory: large bodies that stop short.
var uploadForms = map[string]bool{"whole body that stops short": true, "body in pieces that stops short": true, "large chunks": true}

// Guards against large bodies that stop short and that end a node, make it exceed the memory of its host, or shut out later
// uploads, also those of another organisation. The memory is that of the hosts of deployments with bodies of 64 MiB.
func TestCrowdOfLargeBodies(t *testing.T) {
	for _, memoryMB := range []int{184, 284} {
		t.Run(fmt.Sprint(memoryMB, " MB"), func(t *testing.T) { testUploadCrowds(t, memoryMB) })
	}
}

func testUploadCrowds(t *testing.T, memoryMB int) {
	keys := []string{"key-of-the-crowd", "key-of-another"}
	m := startMesh(t, meshOptions{memoryMB: memoryMB, bodyBytes: uploadBytes, maxFiles: uploadMaxFiles, keys: keys})
	upload := func() bool {
		body := io.LimitReader(zeros{}, uploadBytes)
		return m.send(http.MethodPost, platformtest.LongWritePath+"page", m.nextID(), platformtest.LongTimeout, body, uploadBytes) == http.StatusOK
	}
	m.await("a body of the largest size is answered before the crowds", upload)
	head := "POST " + platformtest.LongWritePath + "page HTTP/1.1\r\nHost: " + platformtest.HostName + "\r\n" + names.Key + ": " + keys[0] + "\r\n"
	for _, target := range []crowdTarget{
		{name: "entry", address: platformtest.EntryAddress(m.node), head: head, process: m.nodeProcess, maxOpenFiles: uploadOpenFiles},
		{name: "gate", address: platformtest.GateAddress(m.node), head: head, process: m.nodeProcess, maxOpenFiles: uploadOpenFiles},
	} {
		for _, form := range requesttest.CrowdForms(uploadBytes) {
			if !uploadForms[form.Name] {
				continue
			}
			t.Run(target.name+", "+form.Name, func(t *testing.T) {
				files := runCrowd(t, target, form)
				for what, answered := range map[string]func() bool{
					"ordinary request": func() bool { return m.get("page", m.nextID()) == http.StatusOK }, "body of the largest size": upload,
				} {
					if !reached(answered) {
						t.Errorf("no %s was answered afterwards", what)
					}
				}
				m.key = keys[1]
				defer func() { m.key = keys[0] }()
				if !reached(upload) {
					t.Error("no upload of another organisation was answered afterwards")
				}
				checkProcesses(t, m, memoryMB, files, target.maxOpenFiles)
			})
		}
	}
}

// checkProcesses checks that the processes of a mesh live within their memory, and that the node had at most a number of
// descriptors open.
func checkProcesses(t *testing.T, m *mesh, memoryMB, files, maxFiles int) {
	t.Helper()
	for name, process := range map[string]*exec.Cmd{"node": m.nodeProcess, "control host": m.controlProcess} {
		peak := peakMemory(t, process)
		t.Logf("%s: peak of %d MB", name, peak/1_000_000)
		if peak > memoryMB*1_000_000 {
			t.Errorf("the %s used %d MB, its host has %d", name, peak/1_000_000, memoryMB)
		}
	}
	t.Logf("node: %d descriptors", files)
	if files > maxFiles {
		t.Errorf("the node opened %d descriptors, its bound is %d", files, maxFiles)
	}
}
