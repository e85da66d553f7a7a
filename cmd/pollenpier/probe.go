package main

import (
	"context"
	"io"
	"net/http"

	"github.com/pollenpier/pollenpier/internal/service/gateway"
)

// answers reports whether a GET request to url with the demo customer's key returns status 200 and a complete body.
func answers(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Header.Set(gateway.HeaderCustomerKey, demoKey)
	req.Header.Set(gateway.HeaderKey, "probe")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
