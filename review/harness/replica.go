//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behaviour says by which probabilities a replica departs from plain answers, each as the pages allow.
type behaviour struct {
	reject, resetAfter, resetBefore, cut, extraLate, garbage, early, unframed, interim, closeAfter, dropIdle, fail float64
	workMs                                                                                                         int
	unframedReset                                                                                                  float64
	// failStatus is the status of a run that fails; 0 stands for 500.
	failStatus int
}

// run is one run of a request at a replica.
type run struct {
	replica, service, id, digest, stamp string
	at                                  time.Time
	status                              int
	body                                []byte
}

// replica is a stand-in of a server.
type replica struct {
	w                       *world
	id, service, zone, addr string
	slots                   int
	born                    int64
	sequence                atomic.Int64
	state                   string
	listener                net.Listener
	tokens                  chan struct{}
	queued                  atomic.Int32
	mutex                   sync.Mutex
	conns                   map[net.Conn]bool
	b                       behaviour
	trouble                 *atomic.Bool
	stopped                 chan struct{}
	once                    sync.Once
	silent                  bool
}

func (w *world) newReplica(service, zone, addr string, slots int, b behaviour) *replica {
	l, err := net.Listen("tcp", addr)
	check(err)
	r := &replica{
		w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, addr: l.Addr().String(),
		slots: slots, born: time.Now().UnixMilli(), state: "ready", listener: l, tokens: make(chan struct{}, slots),
		conns: map[net.Conn]bool{}, b: b, trouble: &w.trouble, stopped: make(chan struct{}),
	}
	go r.accept()
	go r.beat()
	w.mutex.Lock()
	w.replicas = append(w.replicas, r)
	w.mutex.Unlock()
	return r
}

// crash ends the replica as a killed process does.
func (r *replica) crash() {
	r.once.Do(func() {
		close(r.stopped)
		_ = r.listener.Close()
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for c := range r.conns {
			abort(c)
		}
	})
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *replica) isStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

func (r *replica) setState(state string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state = state
}

// record is what the replica says of itself.
func (r *replica) record() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	content, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "warmup_left_ms": 0, "sequence": r.sequence.Add(1), "born": r.born,
	})
	check(err)
	return content
}

func (r *replica) beat() {
	for !r.isStopped() {
		r.announce()
		select {
		case <-r.stopped:
		case <-time.After(time.Duration(1000+rand.IntN(400)) * time.Millisecond):
		}
	}
}

// announce sends one check-in, to another control instance after a failure, and reports whether it was acknowledged.
func (r *replica) announce() bool {
	for _, i := range rand.Perm(len(r.w.f.controls)) {
		if status, _ := call("PUT", "http://"+r.w.f.controlOf(r.w.f.controls[i])+names["replicas"]+r.id, r.record(), time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

func call(method, url string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.conns[c] = true
		r.mutex.Unlock()
		go r.serve(c)
	}
}

func (r *replica) roll(p float64) bool { return r.trouble.Load() && rand.Float64() < p }

func (r *replica) serve(c net.Conn) {
	defer func() {
		r.mutex.Lock()
		delete(r.conns, c)
		r.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !r.handle(c, reader, request) {
			return
		}
		if r.roll(r.b.dropIdle) {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			abort(c)
			return
		}
	}
}

func digestOf(method, path string, body []byte) string {
	sum := sha256.Sum256([]byte(method + " " + path + "\n" + string(body)))
	return hex.EncodeToString(sum[:6])
}

func (r *replica) plain(c net.Conn, status int, id, extra string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), extra, names["id"], id)
	return err == nil
}

// handle answers one request and reports whether the connection goes on.
func (r *replica) handle(c net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get(names["id"])
	if id == "" && request.Method == "GET" && request.RequestURI == "/health" {
		status := 200
		r.mutex.Lock()
		state := r.state
		r.mutex.Unlock()
		if state != "ready" {
			status = 503
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, names["instance"], r.id)
		return err == nil
	}
	if expected := request.Header.Get(names["expected"]); expected != "" && expected != r.id {
		_, _ = io.Copy(io.Discard, request.Body)
		return r.plain(c, 421, id, "")
	}
	if request.ContentLength > 20000 && r.roll(r.b.early) {
		if !r.plain(c, 413, id, names["notExecuted"]+": 1\r\n") {
			return false
		}
		time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if r.roll(r.b.resetBefore) {
		abort(c)
		return false
	}
	limit, err := strconv.Atoi(request.Header.Get(names["deadline"]))
	if err != nil {
		limit = 60000
	}
	until := time.After(time.Duration(limit) * time.Millisecond)
	if r.roll(r.b.reject) || r.queued.Load() > 16 {
		return r.plain(c, 503, id, names["notExecuted"]+": 1\r\n")
	}
	r.queued.Add(1)
	select {
	case r.tokens <- struct{}{}:
		r.queued.Add(-1)
	case <-until:
		r.queued.Add(-1)
		return r.plain(c, 503, id, names["notExecuted"]+": 1\r\n")
	case <-r.stopped:
		return false
	}
	defer func() { <-r.tokens }()
	if r.isStopped() {
		return false
	}
	x := r.w.recordRun(r, id, digestOf(request.Method, request.RequestURI, body), request.RequestURI)
	work := time.After(time.Duration(r.b.workMs/2+rand.IntN(r.b.workMs+1)) * time.Millisecond)
	select {
	case <-work:
	case <-until:
		return r.answer(c, x, 504, "")
	case <-r.stopped:
		return false
	}
	if r.roll(r.b.resetAfter) {
		abort(c)
		return false
	}
	if r.roll(r.b.fail) {
		return r.answer(c, x, max(r.b.failStatus, 500), "")
	}
	return r.answer(c, x, 200, "")
}

// answer sends the answer of a run.
func (r *replica) answer(c net.Conn, x *run, status int, extra string) bool {
	x.status = status
	if status != 200 {
		x.body = []byte("failed\n")
	}
	head := fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%s: %s\r\n%s", status, names["id"], x.id, names["stamp"], x.stamp, extra)
	interim := ""
	if r.roll(r.b.interim) {
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	}
	full := head + fmt.Sprintf("Content-Length: %d\r\n", len(x.body))
	switch {
	case r.roll(r.b.cut):
		whole := full + "\r\n" + string(x.body)
		_, _ = io.WriteString(c, whole[:rand.IntN(len(whole))])
		return false
	case r.roll(r.b.unframed):
		if r.roll(r.b.unframedReset) {
			_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n"+string(x.body[:len(x.body)/2]))
			time.Sleep(5 * time.Millisecond)
			abort(c)
			return false
		}
		_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n"+string(x.body))
		return false
	}
	closing := r.roll(r.b.closeAfter)
	if closing {
		full += "Connection: close\r\n"
	}
	if _, err := io.WriteString(c, interim+full+"\r\n"+string(x.body)); err != nil || closing {
		return false
	}
	if r.roll(r.b.extraLate) {
		go func() {
			time.Sleep(time.Duration(rand.IntN(120)) * time.Millisecond)
			_, _ = io.WriteString(c, full+"\r\n"+string(x.body))
		}()
	}
	if r.roll(r.b.garbage) {
		_, _ = io.WriteString(c, strings.Repeat("#", 1+rand.IntN(40)))
	}
	return true
}
