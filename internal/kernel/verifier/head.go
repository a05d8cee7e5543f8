// Package verifier rejects HTTP answers that break the protocol. The readers of net/http accept heads
// that RFC 9112 forbids, and pass a body that ends with its connection for whole although the connection
// has failed. Everything that reads answers over HTTP does so through this package.
package verifier

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// MaxHeadBytes bounds the head of one answer.
const MaxHeadBytes = 64 << 10

// HeadError reports a head that breaks the protocol.
type HeadError struct {
	// Line is the number of the line in the head; that of the status line is 1.
	Line int
	// Violation names what is wrong with it.
	Violation string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("line %d of the answer's head: %s", e.Line, e.Violation)
}

// PeekHead returns the head of the next answer without consuming it, as soon as it has arrived. The error is a *HeadError as soon as a line is broken, bufio.ErrBufferFull if the head
// does not fit into the reader's buffer, or that of the connection.
func PeekHead(r *bufio.Reader) ([]byte, error) {
	var s scanner
	for size := 1; ; {
		text, err := r.Peek(max(size, r.Buffered()))
		size = len(text) + 1
		done, headErr := s.scan(text)
		switch {
		case headErr != nil:
			return nil, headErr
		case done:
			return text[:s.size], nil
		case err != nil:
			return nil, err
		}
	}
}

// IsInterim reports whether a head is that of an interim answer, which another one follows.
func IsInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return bytes.HasPrefix(status, []byte("1"))
}

// scanner checks a head line by line while it arrives.
type scanner struct {
	// size is the number of bytes of the lines that were checked, and lines their number.
	size, lines int
	// oldVersion reports whether the version is 1.0, which has no transfer encodings.
	oldVersion bool
}

// protocol is how each status line begins.
const protocol = "HTTP/1."

// scan checks the lines of text, the head as far as it has arrived, that have become complete since the
// last scan. It reports whether the head is complete; its length is size.
func (s *scanner) scan(text []byte) (bool, error) {
	if known := min(len(text), len(protocol)); string(text[:known]) != protocol[:known] {
		return false, &HeadError{1, "it does not begin with HTTP/1"}
	}
	for {
		end := bytes.IndexByte(text[s.size:], '\n')
		if end < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(text[s.size:s.size+end], []byte("\r"))
		s.size += end + 1
		s.lines++
		if len(line) == 0 {
			return true, nil
		}
		if violation := s.check(line); violation != "" {
			return false, &HeadError{s.lines, violation}
		}
	}
}

// check returns what is wrong with the line that was counted last; empty if nothing is.
func (s *scanner) check(line []byte) string {
	if s.lines == 1 {
		return s.checkStatusLine(line)
	}
	return s.checkField(line)
}

// maxStatus is the highest valid status.
const maxStatus = 599

// checkStatusLine checks a line by RFC 9112, section 4. A status outside of 100 to 599 is invalid (RFC
// 9110, section 15).
func (s *scanner) checkStatusLine(line []byte) string {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(digits), 10, 16)
	s.oldVersion = string(version) == protocol+"0"
	switch {
	case len(version) != len(protocol)+1:
		return "invalid version"
	case err != nil || len(digits) != 3 || status < http.StatusContinue || status > maxStatus:
		return "invalid status"
	case status == http.StatusSwitchingProtocols:
		return "switches to a protocol that was not requested"
	case bytes.ContainsFunc(reason, isControl):
		return "control byte in the reason"
	}
	return ""
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// checkField checks a line by RFC 9112, section 5, but for the value, which package http checks. A line that
// continues the one before is rejected, as section 5.2 allows: joined, it would alter a field that was whole.
// A transfer encoding in HTTP/1.0 makes the framing faulty (section 6.1).
func (s *scanner) checkField(line []byte) string {
	end := bytes.IndexByte(line, ':')
	switch {
	case end < 0:
		return "no colon"
	case !isToken(line[:end]):
		return "invalid byte in the name of a field"
	case s.oldVersion && bytes.EqualFold(line[:end], []byte("Transfer-Encoding")):
		return "transfer encoding in HTTP/1.0"
	}
	return ""
}

// tokenBytes holds the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		allowed[b] = true
	}
	return allowed
}()

func isToken(text []byte) bool {
	for _, b := range text {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(text) > 0
}
