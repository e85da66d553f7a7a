package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// lookUp sends one lookup of a key on a new connection and records the answer.
func lookUp(r *record, n *instance, id string, key int) {
	sent := time.Now()
	status, err := exchange(n, id, key)
	r.printf("%s to %s, key %d: status %d after %.3f s, error: %v", id, n.name, key, status, time.Since(sent).Seconds(), err)
}

func exchange(n *instance, id string, key int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	url := "http://" + net.JoinHostPort(n.ip, frontPort) + routePrefix + id
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Host, request.Close = routeHost, true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	request.Header.Set("Shard-Key", strconv.Itoa(key))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}
