//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns the id of the next request.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)) }

// askFor sends one request of a caller to an entry instance and returns the status, 0 without an answer,
// and after how long it is to come back.
func (d *deployment) askFor(entry int, path string) (int, time.Duration) {
	id := newID()
	request, err := http.NewRequest(http.MethodGet, "http://"+net.JoinHostPort(entryHost(entry), d.entryPort)+path, nil)
	if err != nil {
		return 0, 0
	}
	request.Host = "shop.example"
	request.Header.Set(names["request-id"], id)
	request.Header.Set(names["deadline"], "2000")
	status, stamp, retryAfter := 0, "", ""
	if response, err := d.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status, stamp = response.StatusCode, response.Header.Get(names["stamp"])
		retryAfter = response.Header.Get("Retry-After")
	}
	d.record.note("caller: GET %s (id %s) at entry-%d -> %d, signature %q, retry after %q", path, id, entry, status, stamp, retryAfter)
	seconds, _ := strconv.ParseFloat(retryAfter, 64)
	return status, time.Duration(seconds * float64(time.Second))
}

// served sends the number of requests to the entry instances in turn and returns how many succeed.
func (d *deployment) served(prefix string, count int) int {
	succeeded := 0
	for i := range count {
		if status, _ := d.askFor(i%d.count, prefix+newID()); status == http.StatusOK {
			succeeded++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return succeeded
}

// configuration returns a configuration with a route of the prefix "/NAME/" for each service.
func configuration(version int, services ...string) map[string]any {
	var routes, listed []map[string]any
	for _, service := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": "shop.example", "path_prefix": "/" + service + "/", "kind": "safe",
			"timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": service, "attempts": 2,
		})
		listed = append(listed, map[string]any{
			"name": service, "health_path": "/health", "max_connections": 49, "protocol": "h1", "tls": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
