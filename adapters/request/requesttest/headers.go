package requesttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// headerFillerBytes is the size of the lines that fill a header. With the other lines, it stays below the 16 KiB of a legal header.
const headerFillerBytes = 15 << 10

// HeaderFillers returns lines, by a name for them, that make a header of legal size expensive to hold.
func HeaderFillers() map[string]string {
	lines := func(line string) string { return strings.Repeat(line, headerFillerBytes/len(line)) }
	var distinct strings.Builder
	for i := 0; distinct.Len() < headerFillerBytes; i++ {
		fmt.Fprintf(&distinct, "%x:\r\n", i)
	}
	return map[string]string{
		"empty lines of one name":  lines("a:\r\n"),
		"distinct names":           distinct.String(),
		"names of odd characters":  lines("!#$&'*^`|~:~\r\n"),
		"one line of cookies":      "Cookie: " + strings.Repeat("a;", headerFillerBytes/2) + "\r\n",
		"lines of cookies":         lines("Cookie:a\r\n"),
		"one line of hop-by-hop":   "Connection: " + strings.Repeat("a,", headerFillerBytes/2) + "a\r\n",
		"lines of forwarded names": lines("X-Forwarded-For:1\r\n"),
	}
}

// HeaderForms returns the forms of a crowd whose requests have a header that is filled with lines: those whose answers are
// read, those whose answers are not read, and those whose bodies stop short.
func HeaderForms(name, lines string) []CrowdForm {
	whole := func(head string) string { return head + lines + "Content-Length: 0\r\n\r\n" }
	return []CrowdForm{
		HeaderFormThatStopsShort(name, lines),
		{Name: name + ", answers read", send: func(c net.Conn, head string) {
			br := bufio.NewReader(c)
			for write(c, whole(head)) {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				if resp.Body.Close() != nil || err != nil || resp.Close {
					return
				}
			}
		}, reopen: true},
		{Name: name + ", answers never read", send: func(c net.Conn, head string) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = repeat(c, whole(head), 1<<30)
		}},
	}
}

// HeaderFormThatStopsShort returns the form of requests whose header is complete and whose body lacks its last byte.
func HeaderFormThatStopsShort(name, lines string) CrowdForm {
	return CrowdForm{Name: name + ", body stops short", send: func(c net.Conn, head string) {
		_ = write(c, head+lines+"Content-Length: 2\r\n\r\nx")
	}}
}
