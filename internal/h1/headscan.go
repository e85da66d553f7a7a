package h1

// headScan follows the head of an answer while it is read, so that a head with too many lines or too many bytes ends before it is parsed.
type headScan struct {
	share      *share
	active     bool
	bytes      int64
	lines      int
	lineLength int // bytes of the current line, without its end
	// folded is true once a header line began with a blank. net/http appends such a line to the value of the line before, which changes
	// that field if the blank belongs to a name.
	folded bool
}

// begin starts with the next head, of which some bytes were read already.
func (h *headScan) begin(s *share, read []byte) bool {
	*h = headScan{share: s, active: true}
	return h.accept(read)
}

// accept follows the next bytes. Those after the end of the head are not examined. It reports false if a limit is exceeded.
func (h *headScan) accept(read []byte) bool {
	for _, b := range read {
		if !h.active {
			return true
		}
		h.bytes++
		switch {
		case b == '\n' && h.lineLength == 0:
			h.active = false
		case b == '\n':
			h.lines++
			h.lineLength = 0
		case b != '\r':
			h.folded = h.folded || (h.lineLength == 0 && h.lines > 0 && isBlank(b))
			h.lineLength++
		}
	}
	return h.lines <= maxHeaderFields+1 && h.share.growHead(h.bytes) // one is the status line
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }
