package requesttest

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// The size of a crowd, and how long it stays.
const (
	crowdClients     = 40
	crowdConnections = 4 // of each client
	// CrowdTime is how long a crowd stays.
	CrowdTime = 2 * time.Second
)

// CrowdForm is one way in which clients that are not controlled use a connection. send is called for each new connection. A
// connection stays open until the crowd ends, unless reopen is set.
type CrowdForm struct {
	Name   string
	send   func(c net.Conn, head string)
	reopen bool
}

// write writes text until it is sent, or until the connection fails or the crowd ends, which a client of the crowd ignores.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// repeat writes a text again and again until a number of bytes is sent.
func repeat(c net.Conn, text string, bytes int) bool {
	block := strings.Repeat(text, max(1, 16<<10/len(text)))
	for sent := 0; sent < bytes; sent += len(block) {
		if !write(c, block) {
			return false
		}
	}
	return true
}

// CrowdForms returns the forms for a limit of bodyBytes.
func CrowdForms(bodyBytes int) []CrowdForm {
	withLength := func(length int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	return []CrowdForm{
		{Name: "whole body that stops short", send: func(c net.Conn, head string) {
			_ = write(c, head+withLength(bodyBytes)) && repeat(c, "x", bodyBytes-16<<10)
		}},
		{Name: "body in pieces that stops short", send: func(c net.Conn, head string) {
			ok := write(c, head+withLength(bodyBytes))
			for i := 0; ok && i < 15; i++ {
				ok = repeat(c, "x", bodyBytes/16)
				time.Sleep(CrowdTime / 32)
			}
		}},
		{Name: "large chunks", send: func(c net.Conn, head string) {
			_ = write(c, head+chunked) && repeat(c, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", bodyBytes-128<<10)
		}},
		{Name: "chunks of one byte", send: func(c net.Conn, head string) {
			_ = write(c, head+chunked) && repeat(c, "1\r\nx\r\n", 5*bodyBytes)
		}},
		{Name: "one chunk of the whole size", send: func(c net.Conn, head string) {
			_ = write(c, head+chunked+fmt.Sprintf("%x\r\n", bodyBytes)) && repeat(c, "x", bodyBytes-16<<10)
		}},
		{Name: "endless chunk extension", send: func(c net.Conn, head string) {
			_ = write(c, head+chunked+"1;") && repeat(c, "a=b;", 1<<30)
		}},
		{Name: "far over the limit, announced", send: func(c net.Conn, head string) {
			_ = write(c, head+withLength(1<<30)) && repeat(c, "x", 1<<30)
		}},
		{Name: "far over the limit, in chunks", send: func(c net.Conn, head string) {
			_ = write(c, head+chunked) && repeat(c, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", 1<<30)
		}},
		{Name: "heads that never end", send: func(c net.Conn, head string) {
			for ok := write(c, head); ok; time.Sleep(time.Millisecond) {
				ok = write(c, "X-Filler: "+strings.Repeat("x", 100)+"\r\n")
			}
		}},
		{Name: "answers that are never read", send: func(c net.Conn, head string) {
			// The kernel holds part of what is not read. A small buffer leaves the rest to the process.
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = repeat(c, head+"Content-Length: 0\r\n\r\n", 1<<30)
		}},
		{Name: "closed and reopened at once", reopen: true, send: func(c net.Conn, head string) {
			_ = write(c, head)
		}},
		{Name: "open without a byte", send: func(net.Conn, string) {}},
	}
}

// RunCrowd runs the clients of a crowd and returns when all of their connections are closed.
func RunCrowd(address, head string, form CrowdForm) {
	ctx, cancel := context.WithTimeout(context.Background(), CrowdTime)
	defer cancel()
	var clients sync.WaitGroup
	for range crowdClients * crowdConnections {
		clients.Go(func() {
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
				form.send(c, head)
				if !form.reopen {
					<-ctx.Done()
				}
				stop()
				_ = c.Close()
			}
		})
	}
	clients.Wait()
}
