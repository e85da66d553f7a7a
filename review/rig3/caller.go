package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// orderBudget is the time that a caller gives an order.
const orderBudget = 2500 * time.Millisecond

// caller sends orders over kept connections and never sends one twice.
type caller struct {
	record *record
	client *http.Client
	next   atomic.Int64
}

func newCaller(r *record) *caller {
	return &caller{record: r, client: &http.Client{Timeout: orderBudget + time.Second}}
}

// order sends one order with the given key to an instance, records the answer and returns the Request-Id. The error means that there was
// no answer.
func (c *caller) order(front, key string) (string, error) {
	id := fmt.Sprintf("r%06d", c.next.Add(1))
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+front+"/x/"+id, strings.NewReader("order"))
	if err != nil {
		return "", err
	}
	request.GetBody = nil // so that net/http does not send the order again
	request.Host = "order.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(orderBudget.Milliseconds()))
	request.Header.Set("Authorization", "Token "+key)
	sent := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		c.record.note("%s at %s with the key %q: no answer after %.3f s: %v", id, front, key, time.Since(sent).Seconds(), err)
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read to its end
	c.record.note("%s at %s with the key %q: status %d after %.3f s, Response-Signature %q, body %q",
		id, front, key, response.StatusCode, time.Since(sent).Seconds(), response.Header.Get("Response-Signature"), body)
	return id, err
}
