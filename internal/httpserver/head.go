package httpserver

import (
	"bytes"
	"strconv"
)

// lineState is the progress of a headScanner in a line.
type lineState uint8

// States of a line.
const (
	lineContent lineState = iota // the line is not empty, or it is the first one
	lineStart                    // nothing of the line has been seen
	lineReturn                   // only a carriage return of the line has been seen
)

// headScanner finds the end of the head of a request: its first empty line. It keeps its state between pieces of the head. Its zero
// value is at the start of a head, or in the middle of a line. Lines end as in net/http: with a line feed, and one carriage return
// before it does not count.
type headScanner struct{ line lineState }

// end returns the number of bytes of p up to the end of the head, or -1 if the head continues after p.
func (s *headScanner) end(p []byte) int {
	for i := 0; i < len(p); i++ {
		if s.line == lineContent {
			feed := bytes.IndexByte(p[i:], '\n')
			if feed < 0 {
				return -1
			}
			i += feed
			s.line = lineStart
			continue
		}
		switch {
		case p[i] == '\n':
			s.line = lineContent
			return i + 1
		case p[i] == '\r' && s.line == lineStart:
			s.line = lineReturn
		default:
			s.line = lineContent
		}
	}
	return -1
}

// Names of the fields that announce a body.
var (
	fieldLength   = []byte("content-length:")
	fieldEncoding = []byte("transfer-encoding:")
)

// announcedBody returns the length of the body that a head announces, -1 if it is unknown. It decides only how much data net/http
// gets at once: net/http checks the fields.
func announcedBody(head []byte) int64 {
	for len(head) > 0 {
		line, rest, _ := bytes.Cut(head, []byte("\n"))
		head = rest
		if hasPrefixFold(line, fieldEncoding) {
			return -1
		}
		if hasPrefixFold(line, fieldLength) {
			length, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(fieldLength):])), 10, 64)
			if err != nil || length < 0 {
				return -1
			}
			return length
		}
	}
	return 0
}

func hasPrefixFold(line, prefix []byte) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], prefix)
}
