// Package httpheader contains what all HTTP front ends and clients do with headers.
package httpheader

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// DropHopByHop removes the headers that apply to one connection and are not forwarded: the standard ones and those that the
// Connection header lists.
func DropHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
