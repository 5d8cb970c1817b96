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

func init() { cases["extra"] = extra }

// additionalEach is the number of answers of a faulty replica of which one is followed by additional bytes.
const additionalEach = 33

// extra has a replica send additional bytes after a complete answer: its bytes without the line with the id.
func extra(w *world, trouble bool) (map[string][]string, error) {
	if err := w.deploy(3, 2); err != nil {
		return nil, err
	}
	l := newLedger()
	var last sync.Map
	var sent atomic.Int64
	for i := range 4 {
		r, err := w.startReplica(l, "orders", zoneOf(i), 6, func() time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		if i > 0 || !trouble {
			continue
		}
		var count atomic.Int64
		r.before = func(q *http.Request) []byte {
			id := q.Header.Get(names["id"])
			previous, known := last.Swap(q.RemoteAddr, id)
			if !known || count.Add(1)%additionalEach != 0 {
				return nil
			}
			sent.Add(1)
			answer := answerOf(r.id, previous.(string))
			return append([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", names["stamp"], stampOf(r.id, previous.(string)), len(answer))), answer...)
		}
	}
	err := w.publish(map[string]any{
		"version":  3,
		"limits":   limits,
		"services": []any{service("orders")},
		"routes":   []any{route("look", "/look/", "safe", "orders", 2000, 200)},
	})
	if err != nil {
		return nil, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	b := &book{}
	var group sync.WaitGroup
	for range 10 {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(w, true)
			for ctx.Err() == nil {
				b.add(c.call(context.Background(), w.entries[rand.IntN(len(w.entries))], http.MethodGet, fmt.Sprintf("/look/x?n=%d", rand.IntN(1e9)), nil, 2*time.Second))
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
	statuses := map[int]int{}
	for _, s := range b.all {
		statuses[s.status]++
		w.note("%s at %s: status %d, signature %q, runs %v", s.id, s.entry, s.status, s.header.Get(names["stamp"]), l.of(s.id))
	}
	foreign := foreignAnswers(b, l)
	w.note("answers by status %v, additional bytes sent %d times, foreign answers %d", statuses, sent.Load(), len(foreign))
	fmt.Printf("answers by status %v, additional bytes sent %d times, foreign answers %d\n", statuses, sent.Load(), len(foreign))
	if len(foreign) == 0 {
		return nil, nil
	}
	return map[string][]string{"MIXED": foreign}, nil
}
