// Package heads checks the heads of HTTP/1.1 responses before net/http parses them. net/http
// accepts some heads that are no answer in the protocol (RFC 9112), or whose end is in
// doubt: a status such as 000 or +20, a repeated length, a length together with chunks,
// spaces in names, folded lines and bare carriage returns. What follows such a head on its
// connection belongs to no response.
package heads

import (
	"bytes"
	"errors"
	"strings"
)

// ErrMalformed means that the bytes are no response in the protocol.
var ErrMalformed = errors.New("heads: not a response of HTTP/1.1")

// maxKept bounds the part of a line that is kept, in bytes. Names and lengths are shorter.
const maxKept = 512

// Checker checks the heads before and of one response, byte by byte. The zero value expects
// a head.
type Checker struct {
	line []byte
	// size is the length of the line, of which only a part may be kept.
	size int
	// carriage is set after a carriage return, which only the end of a line may follow.
	carriage bool
	// status is that of the head, zero before its first line.
	status  int
	old     bool
	length  bool
	coding  bool
	done    bool
	invalid bool
}

// Begin expects a head.
func (c *Checker) Begin() { *c = Checker{line: c.line[:0]} }

// Feed checks bytes in the order of their arrival. Bytes after the head of the final
// response are ignored.
func (c *Checker) Feed(p []byte) error {
	for len(p) > 0 && !c.done {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		if c.invalid || !c.addPart(part) || (ended && !c.endLine()) {
			c.invalid = true
			return ErrMalformed
		}
		p = rest
	}
	return nil
}

// addPart adds a part of a line.
func (c *Checker) addPart(part []byte) bool {
	if len(part) == 0 {
		return true
	}
	if c.carriage || bytes.IndexByte(part, 0) >= 0 {
		return false
	}
	if at := bytes.IndexByte(part, '\r'); at >= 0 {
		if at != len(part)-1 {
			return false
		}
		c.carriage = true
		part = part[:at]
	}
	c.size += len(part)
	c.line = append(c.line, part[:min(len(part), maxKept-len(c.line))]...)
	return true
}

func (c *Checker) endLine() bool {
	line, size := c.line, c.size
	c.line, c.size, c.carriage = c.line[:0], 0, false
	switch {
	case c.status == 0:
		return c.readStatus(line)
	case len(line) == 0:
		return c.endHead()
	default:
		return c.readField(line, size)
	}
}

const (
	versionSize = len("HTTP/1.1 ")
	codeEnd     = versionSize + len("200")
	minStatus   = 100
	maxStatus   = 599
	minFinal    = 200
	switching   = 101
)

// readStatus reads a status line: the version, three digits from 100 to 599, and a text.
func (c *Checker) readStatus(line []byte) bool {
	if len(line) < codeEnd || (len(line) > codeEnd && line[codeEnd] != ' ') {
		return false
	}
	switch version := string(line[:versionSize]); version {
	case "HTTP/1.1 ":
	case "HTTP/1.0 ":
		c.old = true
	default:
		return false
	}
	status := 0
	for _, digit := range line[versionSize:codeEnd] {
		if !isDigit(digit) {
			return false
		}
		status = 10*status + int(digit-'0')
	}
	c.status = status
	// No request asks for another protocol.
	return status >= minStatus && status <= maxStatus && status != switching
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// readField reads a field, of whose line of the given size only a part may be kept.
func (c *Checker) readField(line []byte, size int) bool {
	name, value, found := bytes.Cut(line, []byte(":"))
	// A folded line begins with a space, which no name contains.
	if !found || !isToken(name) {
		return false
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		value = bytes.Trim(value, " \t")
		if c.length || len(value) == 0 || size > maxKept || bytes.IndexFunc(value, func(r rune) bool { return r < '0' || r > '9' }) >= 0 {
			return false
		}
		c.length = true
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		if c.coding || c.old {
			return false
		}
		c.coding = true
	}
	return true
}

// isToken reports whether a field's name consists of the characters of a token.
func isToken(name []byte) bool {
	for _, b := range name {
		letter := b|0x20 >= 'a' && b|0x20 <= 'z'
		if !letter && !isDigit(b) && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// endHead ends a head. An informational one has no body, so that another head follows.
func (c *Checker) endHead() bool {
	if c.length && c.coding {
		return false
	}
	if c.status >= minFinal {
		c.done = true
		return true
	}
	ok := !c.length && !c.coding
	c.Begin()
	return ok
}
