//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id      string
	replica string
	service string
	at      time.Duration
	// sum identifies the method, path and body.
	sum string
}

// ledger keeps the runs at all replicas.
type ledger struct {
	mutex sync.Mutex
	runs  map[string][]run
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}} }

func (l *ledger) add(r run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *ledger) of(id string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]run{}, l.runs[id]...)
}

func sumOf(method, path string, body []byte) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %s\n", method, path)
	hash.Write(body)
	return fmt.Sprintf("%x", hash.Sum(nil)[:8])
}

// replica is a sound server of the platform.
type replica struct {
	world   *world
	ledger  *ledger
	id      string
	service string
	zone    string
	born    int64
	// address is the one that it announces.
	address  string
	slots    int
	queue    int
	work     func() time.Duration
	sequence atomic.Int64
	// before returns bytes to send before the answer to a request, if any.
	before func(q *http.Request) []byte

	server  *http.Server
	tokens  chan struct{}
	waiting atomic.Int64
	ended   chan struct{}
	once    sync.Once
}

// startReplica starts a replica behind a proxy and has it check in.
func (w *world) startReplica(l *ledger, service, zone string, slots int, work func() time.Duration) (*replica, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now().UnixMilli()
	r := &replica{
		world:   w,
		ledger:  l,
		id:      fmt.Sprintf("i-%s-%d", service, w.replicaCount.Add(1)),
		service: service,
		zone:    zone,
		born:    now,
		address: inner.Addr().String(),
		slots:   slots,
		queue:   24,
		work:    work,
		tokens:  make(chan struct{}, slots),
		ended:   make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
	w.replicas = append(w.replicas, r)
	go r.server.Serve(inner)
	go r.checkIn()
	return r, nil
}

// body returns what a check-in says.
func (r *replica) body() []byte {
	content, _ := json.Marshal(map[string]any{
		"service":        r.service,
		"address":        r.address,
		"zone":           r.zone,
		"version":        "v1",
		"slots":          r.slots,
		"state":          "ready",
		"warmup_left_ms": 0,
		"sequence":       r.sequence.Add(1),
		"born":           r.born,
	})
	return content
}

func (r *replica) checkIn() {
	for i := 0; ; i++ {
		for range r.world.controls {
			p := r.world.controls[i%len(r.world.controls)]
			if status, _ := r.world.callControl(p, http.MethodPut, names["replicas"]+r.id, r.body()); status/100 == 2 {
				break
			}
			i++
		}
		select {
		case <-r.ended:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// stop ends the replica at once, as a crash does.
func (r *replica) stop() {
	r.once.Do(func() {
		close(r.ended)
		_ = r.server.Close()
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set(names["instance"], r.id)
		return
	}
	id := q.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	w.Header().Set("Keep-Alive", "timeout=30")
	if r.before != nil {
		if additional := r.before(q); additional != nil {
			r.ledger.add(run{
				id:      id,
				replica: r.id,
				service: r.service,
				at:      time.Since(r.world.started),
				sum:     sumOf(q.Method, q.RequestURI, body),
			})
			r.sendBefore(w, id, additional)
			return
		}
	}
	if expected := q.Header.Get(names["expected"]); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.reject(w, http.StatusBadRequest)
		return
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(q.Header.Get(names["deadline"])); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	end := time.After(limit)
	if int(r.waiting.Add(1)) > r.queue+r.slots {
		r.waiting.Add(-1)
		r.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer r.waiting.Add(-1)
	select {
	case r.tokens <- struct{}{}:
	case <-end:
		r.reject(w, http.StatusServiceUnavailable)
		return
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.tokens }()
	r.ledger.add(run{
		id:      id,
		replica: r.id,
		service: r.service,
		at:      time.Since(r.world.started),
		sum:     sumOf(q.Method, q.RequestURI, body),
	})
	select {
	case <-time.After(r.work()):
	case <-end:
		w.Header().Set(names["stamp"], stampOf(r.id, id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-q.Context().Done():
		return
	}
	w.Header().Set(names["stamp"], stampOf(r.id, id))
	answer := answerOf(r.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// sendBefore sends bytes that belong to no request, then runs the request and answers it.
func (r *replica) sendBefore(w http.ResponseWriter, id string, additional []byte) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = conn.Write(additional)
	time.Sleep(r.work())
	answer := answerOf(r.id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", names["id"], id, names["stamp"], stampOf(r.id, id), len(answer))
	_, _ = conn.Write(answer)
}

func (r *replica) reject(w http.ResponseWriter, status int) {
	w.Header().Set(names["rejected"], "1")
	w.WriteHeader(status)
}

func stampOf(replica, id string) string { return fmt.Sprintf("st.%s.%s", replica, id) }

// answerOf returns the body of a replica's answer: records of 16 bytes that name the request.
func answerOf(replica, id string) []byte {
	var b bytes.Buffer
	for i := range 3 {
		sum := sha256.Sum256([]byte(fmt.Sprintf("%s %s %d", replica, id, i)))
		b.Write(sum[:16])
	}
	return b.Bytes()
}
