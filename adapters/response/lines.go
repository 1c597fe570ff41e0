package response

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// lines checks the lines of a header or of trailers while they arrive, up to the empty line behind
// them. The zero value checks a header.
type lines struct {
	checked  int  // bytes of the lines that were checked
	fields   bool // the status line was checked, or there is none
	hasField bool // a field line was checked
	complete bool // the empty line was reached
	http10   bool // the version is HTTP/1.0
	interim  bool // the status is 1xx
}

// check checks the complete lines at the start of b that were not checked before. It replaces a minor
// version of HTTP/1 above 1 by 1, because a client reads such a response like one of the highest
// version that it knows (RFC 9110, section 2.5).
func (l *lines) check(b []byte) error {
	for !l.complete {
		n := bytes.IndexByte(b[l.checked:], '\n')
		if n < 0 {
			return nil
		}
		line := bytes.TrimSuffix(b[l.checked:l.checked+n], []byte("\r"))
		l.checked += n + 1
		if err := l.checkLine(line); err != nil {
			return err
		}
	}
	return nil
}

func (l *lines) checkLine(line []byte) error {
	switch {
	case len(line) == 0:
		l.complete = l.fields // empty lines before the status line are skipped (RFC 9112, section 2.2)
		return nil
	case !l.fields:
		l.fields = true
		return l.checkStatusLine(line)
	case line[0] != ' ' && line[0] != '\t':
		l.hasField = true
		return l.checkField(line)
	case l.hasField:
		return checkText(line) // continues the value of the line before
	default:
		return errors.New("the first field line begins with a blank")
	}
}

const (
	versionPrefix = "HTTP/1."
	// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
	minStatus = "100"
	maxStatus = "599"

	switchingProtocols = "101"
)

func (l *lines) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte(versionPrefix))
	if !isHTTP1 || len(minor) != 1 || isNotDigit(rune(minor[0])) {
		return fmt.Errorf("version %q is not HTTP/1", clip(version))
	}
	l.http10 = minor[0] == '0'
	if minor[0] > '1' {
		minor[0] = '1'
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != len(minStatus) || bytes.ContainsFunc(code, isNotDigit) ||
		string(code) < minStatus || string(code) > maxStatus {
		return fmt.Errorf("status code %q is not within %s to %s", clip(code), minStatus, maxStatus)
	}
	if string(code) == switchingProtocols {
		return errors.New("the response switches protocols, for which no request asks")
	}
	l.interim = code[0] == '1'
	return checkText(reason)
}

func (l *lines) checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case !hasColon:
		return fmt.Errorf("field line %q has no colon", clip(line))
	case len(name) == 0 || bytes.IndexFunc(name, isNotToken) >= 0:
		return fmt.Errorf("field name %q is not a token", clip(name))
	case l.http10 && strings.EqualFold(string(name), "Transfer-Encoding"):
		// The library would ignore it and pass the chunks on as the body (RFC 9112, section 6.1).
		return errors.New("an HTTP/1.0 response has Transfer-Encoding")
	}
	return checkText(value)
}

// checkText checks the bytes of a reason or of the value of a field.
func checkText(text []byte) error {
	if i := bytes.IndexFunc(text, isControl); i >= 0 {
		return fmt.Errorf("control byte %#x in %q", text[i], clip(text))
	}
	return nil
}

// clip bounds the bytes of a response in an error.
func clip(b []byte) []byte { return b[:min(len(b), 64)] }

func isNotDigit(r rune) bool { return r < '0' || r > '9' }

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isNotToken reports whether a character may not be in a field name (RFC 9110, section 5.6.2).
func isNotToken(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
