//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rejection"] = rejection }

// rejection has a replica send additional bytes after a complete answer that read like a rejection without an id, and counts the runs of requests that may run once.
func rejection(w *world, trouble bool) (map[string][]string, error) {
	if err := w.deploy(3, 2); err != nil {
		return nil, err
	}
	l := newLedger()
	var sent atomic.Int64
	for i := range 4 {
		r, err := w.startReplica(l, "orders", zoneOf(i), 6, func() time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		if i > 0 || !trouble {
			continue
		}
		var used sync.Map
		var count atomic.Int64
		r.before = func(q *http.Request) []byte {
			if _, isUsed := used.Swap(q.RemoteAddr, true); !isUsed || count.Add(1)%additionalEach != 0 {
				return nil
			}
			sent.Add(1)
			return []byte(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names["rejected"]))
		}
	}
	err := w.publish(map[string]any{
		"version":  3,
		"limits":   limits,
		"services": []any{service("orders")},
		"routes":   []any{route("order", "/order/", "unsafe", "orders", 2000, 200)},
	})
	if err != nil {
		return nil, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	b := &book{}
	var group sync.WaitGroup
	for range 20 {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(w, true)
			for ctx.Err() == nil {
				b.add(c.call(context.Background(), w.entries[rand.IntN(len(w.entries))], http.MethodPost, fmt.Sprintf("/order/x?n=%d", rand.IntN(1e9)), []byte("one"), 2*time.Second))
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
	statuses := map[int]int{}
	var doubled []string
	for _, s := range b.all {
		statuses[s.status]++
		runs := l.of(s.id)
		w.note("%s at %s: status %d, runs %v", s.id, s.entry, s.status, runs)
		if len(runs) > 1 {
			doubled = append(doubled, fmt.Sprintf("request %s at %s ran %d times: %v", s.id, s.entry, len(runs), runs))
		}
	}
	w.note("answers by status %v, additional bytes sent %d times, requests that ran more than once %d", statuses, sent.Load(), len(doubled))
	fmt.Printf("answers by status %v, additional bytes sent %d times, requests that ran more than once %d\n", statuses, sent.Load(), len(doubled))
	if len(doubled) == 0 {
		return nil, nil
	}
	return map[string][]string{"TWICE": doubled}, nil
}
