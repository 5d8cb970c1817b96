//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// checkInInterval is the heartbeat_interval_ms of the small sites.
const checkInInterval = 1200 * time.Millisecond

// replica is a stand-in for one replica: it serves requests and checks in with the control instances.
type replica struct {
	id, service, address, zone string

	deployment *deployment
	born       int64
	sequence   int64
	control    int
	state      string
	server     *http.Server
	stop       chan struct{}
	done       chan struct{}
	mutex      sync.Mutex
	acked      atomic.Int64
	refused    atomic.Int64
	served     atomic.Int64
	// slots limits the requests that run at once, and onReach is told of each that arrives; both may be nil.
	slots   chan struct{}
	onReach func(id string)
	// isSound is set if the replica never loses an answer.
	isSound bool
}

// checkIn is what a replica says of itself.
type checkIn struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmupMs int    `json:"warmup_left_ms"`
	Sequence int64  `json:"sequence"`
	Born     int64  `json:"born"`
}

// startReplica starts a boot of a replica at the address, which gets a port of its own if it has none.
func startReplica(d *deployment, id, service, address, zone string) (*replica, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, address: socket.Addr().String(), zone: zone,
		deployment: d, born: time.Now().UnixMilli(), state: "ready",
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(socket) }()
	d.record.note("replica %s (%s at %s) starts, born %d", id, service, r.address, r.born)
	go r.run()
	return r, nil
}

func (r *replica) run() {
	defer close(r.done)
	r.checkIn()
	ticker := time.NewTicker(checkInInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checkIn()
		case <-r.stop:
			return
		}
	}
}

// checkIn tells one control instance after the other until one acknowledges it.
func (r *replica) checkIn() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range r.deployment.count {
		r.sequence++
		body, _ := json.Marshal(checkIn{
			Service: r.service, Address: r.address, Zone: r.zone, Version: "v1", Slots: 4, State: r.state,
			Sequence: r.sequence, Born: r.born,
		})
		if status := r.deployment.call(http.MethodPut, r.control, names["replica-path"]+r.id, body); status == http.StatusOK {
			r.acked.Add(1)
			return true
		}
		r.refused.Add(1)
		r.control = (r.control + 1) % r.deployment.count
	}
	return false
}

// end ends the process of the replica.
func (r *replica) end() {
	close(r.stop)
	<-r.done
	_ = r.server.Close()
	r.deployment.record.note("replica %s (born %d) has ended", r.id, r.born)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set(names["instance-id"], r.id)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get(names["request-id"])
	w.Header().Set(names["request-id"], id)
	if expected := request.Header.Get(names["expected"]); expected != "" && expected != r.id {
		w.Header().Set(names["not-executed"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.onReach != nil {
		r.onReach(id)
		r.deployment.record.note("request %s reaches replica %s", id, r.id)
	}
	if r.slots == nil {
		time.Sleep(5 * time.Millisecond)
	} else {
		r.slots <- struct{}{}
		time.Sleep(jobWork)
		<-r.slots
	}
	r.served.Add(1)
	r.deployment.record.note("replica %s runs %s, id %s", r.id, request.URL.Path, id)
	if r.deployment.loser.loses(r, r.isSound) {
		r.deployment.record.note("replica %s loses its answer to %s", r.id, id)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			// Closing resets the connection.
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	w.Header().Set(names["stamp"], fmt.Sprintf("%s.%s.%d", r.id, id, r.served.Load()))
	_, _ = io.WriteString(w, "answer to "+id)
}
