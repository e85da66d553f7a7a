package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// everything is the target of a request for the options of the server as a whole.
const everything = "*"

// playOptions has a caller ask for the options of the server as a whole, a request that no backend gets.
func playOptions(r *record, trouble bool) ([]string, error) {
	s, err := smallSite(r)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	targets := []string{"/x/o1", "/none/o2"}
	if trouble {
		targets = append(targets, everything)
	}
	var broken []string
	for _, n := range s.instances {
		for i, target := range targets {
			status, header, err := ask(n.front(), target, fmt.Sprintf("o%d", i+1))
			if err != nil && target == everything { // the connection may be closed
				r.note("OPTIONS %s at %s: no answer: %v", target, n.ip, err)
				continue
			}
			if err != nil {
				return nil, err
			}
			signature := header.Get("Response-Signature")
			r.note("OPTIONS %s at %s: status %d, Response-Signature %q, Request-Id %q", target, n.ip, status, signature, header.Get("Request-Id"))
			if status/100 == 2 && signature == "" {
				broken = append(broken, fmt.Sprintf("OPTIONS %s at %s got %d without Response-Signature", target, n.ip, status))
			}
		}
	}
	return broken, nil
}

// ask sends an OPTIONS request and returns the status and the header of its answer.
func ask(front, target, id string) (int, http.Header, error) {
	c, err := net.DialTimeout("tcp4", front, time.Second) //nolint:noctx // has a timeout
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = c.Close() }()                   // the answer is complete
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	if _, err = fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: order.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Token %s\r\n\r\n",
		target, id, customerKey); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return 0, nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close() // it was read to its end
	return response.StatusCode, response.Header, err
}
