package forward

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
)

// headScanner finds broken heads of responses. net/http accepts a blank in the name of a field
// and takes a line that begins with a blank for the rest of the line before; such a line may have
// been the length or the encoding, without which the body ends elsewhere. A head is sound if each
// of its lines is a name, a colon and a value (RFC 9112, section 5), and if all lines end alike.
// Values and the status line are left to net/http. A scanner is safe for concurrent use; the zero
// value ignores everything until start.
type headScanner struct {
	mu   sync.Mutex
	part headPart
	// statusLine holds the beginning of the status line.
	statusLine []byte
	// crlf is set if the status line ended with a carriage return and a line feed. last is the
	// byte before the current one.
	crlf   bool
	last   byte
	broken error
}

// headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	outsideHead headPart = iota
	inStatusLine
	atLineStart
	inName
	inValue
	inEmptyLine
)

// maxStatusLineBytes bounds the part of a status line that is kept: it has the version and the
// status.
const maxStatusLineBytes = 16

// start prepares the scanner for the response to the next request.
func (s *headScanner) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = nil
	s.startHead()
}

func (s *headScanner) startHead() {
	s.part = inStatusLine
	s.statusLine = s.statusLine[:0]
}

// err returns an error that wraps ErrProtocol if a head since start was broken.
func (s *headScanner) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// scan follows the next bytes of the connection.
func (s *headScanner) scan(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range p {
		if s.part == outsideHead {
			return
		}
		s.step(b)
		s.last = b
	}
}

// step follows one byte of a head.
func (s *headScanner) step(b byte) {
	if b == '\n' {
		s.endLine()
		return
	}
	switch s.part {
	case inStatusLine:
		if len(s.statusLine) < maxStatusLineBytes {
			s.statusLine = append(s.statusLine, b)
		}
	case atLineStart:
		if b == '\r' {
			s.part = inEmptyLine
			return
		}
		s.stepName(b)
	case inName:
		if b == ':' {
			s.part = inValue
			return
		}
		s.stepName(b)
	case inEmptyLine:
		s.fail("a line begins with a carriage return")
	}
}

// stepName follows one byte of a name.
func (s *headScanner) stepName(b byte) {
	s.part = inName
	if !isTokenByte(b) {
		s.fail(fmt.Sprintf("the name of a field holds the byte %q", b))
	}
}

// endLine follows a line feed.
func (s *headScanner) endLine() {
	crlf := s.last == '\r'
	switch s.part {
	case inStatusLine:
		s.crlf = crlf
		s.part = atLineStart
		if !bytes.HasPrefix(s.statusLine, []byte("HTTP/")) {
			// net/http rejects bytes that are no response.
			s.part = outsideHead
		}
	case inName:
		s.fail("a field has no value")
	case inValue:
		s.part = atLineStart
	case atLineStart, inEmptyLine:
		s.endHead()
	}
	if s.crlf && !crlf {
		s.fail("a line ends without a carriage return")
	}
}

// endHead ends a head. Another one follows an interim response.
func (s *headScanner) endHead() {
	_, status, _ := bytes.Cut(s.statusLine, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	s.part = outsideHead
	if bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101")) {
		s.startHead()
	}
}

// fail records that the head is broken. The rest of the connection is ignored.
func (s *headScanner) fail(text string) {
	s.part = outsideHead
	s.broken = fmt.Errorf("%w: %s", ErrProtocol, text)
}

// tokenPunctuation lists the bytes of tokens that are neither letters nor digits (RFC 9110,
// section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// isTokenByte reports whether the name of a field may hold b.
func isTokenByte(b byte) bool {
	letter := b|0x20 >= 'a' && b|0x20 <= 'z'
	digit := b >= '0' && b <= '9'
	return letter || digit || strings.IndexByte(tokenPunctuation, b) >= 0
}
