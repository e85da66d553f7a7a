package h1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

// invalidLines are header lines whose names are not tokens (RFC 9110, section 5.6.2), with the fault that they have.
var invalidLines = map[string]string{
	"blank in the name":           "X Bad: 1\r\n",
	"blank after the name":        "X-Bad : 1\r\n",
	"blank after a length":        "Content-Length : 2\r\n",
	"blank after an encoding":     "Transfer-Encoding : chunked\r\n",
	"blank before the name":       " X-Bad: 1\r\n",
	"tab before the name":         "\tX-Bad: 1\r\n",
	"tab in the name":             "X\tBad: 1\r\n",
	"tab after the name":          "X-Bad\t: 1\r\n",
	"null in the name":            "X\x00Bad: 1\r\n",
	"control byte in the name":    "X\x01Bad: 1\r\n",
	"control byte before it":      "\x0bX-Bad: 1\r\n",
	"delete in the name":          "X\x7fBad: 1\r\n",
	"carriage return in the name": "X\rBad: 1\r\n",
	"letter outside ASCII":        "X\xe9Bad: 1\r\n",
	"no name":                     ": 1\r\n",
	"blank as the name":           " : 1\r\n",
	"line of blanks":              "  \r\n",
}

// Guards against an answer with an invalid header name that reaches the caller, with that line or with a body that it does not delimit,
// and against a connection that is used again after it.
func TestAnswerWithAnInvalidHeaderNameIsMalformed(t *testing.T) {
	const status, id, rest = "HTTP/1.1 200 OK\r\n", "Id: a\r\n", "Content-Length: 5\r\n\r\nwhole"
	for name, line := range invalidLines {
		for place, raw := range map[string]string{
			"first":               status + line + id + rest,
			"in the middle":       status + id + line + rest,
			"last":                status + id + "Content-Length: 5\r\n" + line + "\r\nwhole",
			"without a length":    status + id + line + "\r\nwhole",
			"in an interim":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line + "\r\n" + status + id + rest,
			"in a refusal":        "HTTP/1.1 503 Full\r\n" + id + "Refused: yes\r\n" + line + "Content-Length: 0\r\n\r\n",
			"in an earlier one":   "HTTP/1.1 503 Full\r\nId: b\r\n" + line + "Content-Length: 0\r\n\r\n" + status + id + rest,
			"in a separate write": status + id + "X: " + strings.Repeat("y", 4<<10) + "\r\n" + line + rest,
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				p := newPeer(t, func(n int64, c net.Conn, r *bufio.Reader) {
					request(r)
					if n == 1 {
						_, _ = io.WriteString(c, raw)
					} else {
						_, _ = io.WriteString(c, answer("b", "own"))
					}
				})
				pool := newPool(t)
				_, err := doWithin(t, pool, p.address, "a", nil, 10*time.Second)
				require.ErrorIs(t, err, h1.ErrUnknown)
				require.ErrorIs(t, err, h1.ErrMalformed)
				got, err := doWithin(t, pool, p.address, "b", nil, 10*time.Second)
				require.NoError(t, err)
				require.Equal(t, "own", string(got.Body))
			})
		}
	}
}

// Guards against a body that counts as whole although an invalid line follows it.
func TestAnswerWithAnInvalidTrailerNameIsMalformed(t *testing.T) {
	for name, line := range invalidLines {
		if strings.ContainsAny(line[:1], " \t") {
			continue // continues a value of the trailer, which the client does not use
		}
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				id := request(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: 1\r\n"+line+"\r\n")
			})
			_, err := doWithin(t, newPool(t), p.address, "a", nil, 10*time.Second)
			require.ErrorIs(t, err, h1.ErrUnknown)
			require.ErrorIs(t, err, h1.ErrMalformed)
		})
	}
}

// Guards against a sound answer that is refused for an unusual name or value.
func TestUnusualHeaderNamesArePassedOn(t *testing.T) {
	const name = "!#$%&'*+-.^_`|~09azAZ"
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		id := request(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+name+":a b\t: \xe9\r\nx_y:\r\nid:"+id+"\r\nTransfer-Encoding:  chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+name+": 1\r\n\r\n")
	})
	got, err := doWithin(t, newPool(t), p.address, "a", nil, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got.Body))
	require.Equal(t, "a b\t: \xe9", got.Header.Get(name))
	require.Equal(t, []string{""}, got.Header[http.CanonicalHeaderKey("x_y")])
}
