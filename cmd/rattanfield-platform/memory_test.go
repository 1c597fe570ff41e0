package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/platform"
)

// Parts of the paths that the upstream answers without end, and with a page of largePageBytes.
const (
	endless        = "endless"
	largePage      = "large"
	largePageBytes = 32 << 10
	// upstreamBufferBytes is more than the largest legal header.
	upstreamBufferBytes = 64 << 10
)

// names are the header names of the platform.
var names = platform.Headers

// serveUpstream answers ordinary requests, and those for endless paths with bytes until the connection is closed.
func serveUpstream(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReaderSize(c, upstreamBufferBytes)
	for {
		var r fasthttp.Request
		if err := r.Read(br); err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\n" + names.Signature + ": s\r\n" + names.ID + ": " + string(r.Header.Peek(names.ID)) + "\r\n"
		if !strings.Contains(string(r.RequestURI()), endless) {
			page := "body"
			if strings.Contains(string(r.RequestURI()), largePage) {
				page = strings.Repeat("x", largePageBytes)
			}
			if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(page), page); err != nil {
				return
			}
			continue
		}
		_, err := io.WriteString(c, head+"\r\n")
		for block := strings.Repeat("x", 64<<10); err == nil; {
			_, err = io.WriteString(c, block)
		}
		return
	}
}

// Guards against a node that uses up its memory, and ends with the requests of all its clients, while an upstream
// answers several requests at once with bytes without end.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const memoryMB, clients, rounds = 128, 16, 40
	m := startMesh(t, meshOptions{memoryMB: memoryMB})
	for round := range rounds {
		var group sync.WaitGroup
		for i := range clients {
			group.Go(func() {
				if status := m.get(endless, fmt.Sprintf("%s-%d-%d", endless, round, i)); status == http.StatusOK {
					t.Error("an endless response was passed on as complete")
				}
			})
		}
		group.Wait()
	}
	m.await("the node still serves", func() bool { return m.get("page", m.nextID()) == http.StatusOK })
	peak := peakMemory(t, m.nodeProcess)
	if peak > memoryMB*1_000_000 {
		t.Fatalf("the node used %d MB, its limit is %d", peak/1_000_000, memoryMB)
	}
	t.Logf("the node used %d of %d MB", peak/1_000_000, memoryMB)
}
