package httpserver

// headScan counts the bytes and the fields of a head while it is read.
type headScan struct {
	ended      bool
	bytes      int
	fields     int // lines after the request line
	lines      int
	lineLength int // bytes of the current line, without its end
}

// accept follows the next bytes. Those after the end of the head are not examined.
func (h *headScan) accept(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch {
		case b == '\n' && h.lineLength == 0 && h.lines > 0:
			h.ended = true
		case b == '\n' && h.lineLength > 0:
			h.lines++
			h.fields = h.lines - 1
			h.lineLength = 0
		case b != '\r' && b != '\n':
			h.lineLength++
		}
	}
}
