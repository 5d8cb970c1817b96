//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unframed"] = unframed }

const (
	// maxSegment is the segment size of an ordinary network, which a listener on a loopback address does not have by itself, and socketBuffer a small buffer of a socket.
	maxSegment   = 1460
	socketBuffer = 16 << 10
	// answerPause is the time between the two halves of an answer, and resetDelay when a proxy resets the connection after the first half.
	answerPause = 40 * time.Millisecond
	resetDelay  = 10 * time.Millisecond
	// linkPart and linkDelay are the bytes that a link carries at once and the time that it takes for them.
	linkPart  = 4 << 10
	linkDelay = 2 * time.Millisecond
	// resetEach is the number of connections of which one is reset.
	resetEach = 10
)

// controlSocket sets the options of a socket that stands for one on a network.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegment)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer)
	})
}

func listenAsOnNetwork() (net.Listener, error) {
	config := net.ListenConfig{
		Control: controlSocket,
	}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// earlyReplica is a sound replica that answers long requests before it has read them. Its answers have no length and end with the connection.
type earlyReplica struct {
	*replica

	inner net.Listener
}

func (e *earlyReplica) run() {
	for {
		conn, err := e.inner.Accept()
		if err != nil {
			return
		}
		go e.serve(conn.(*net.TCPConn))
	}
}

func (e *earlyReplica) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := q.Header.Get(names["id"])
	if expected := q.Header.Get(names["expected"]); expected != "" && expected != e.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", names["id"], id)
		return
	}
	e.ledger.add(run{id: id, replica: e.id, service: e.service, at: time.Since(e.world.started)})
	answer := answerOf(e.id, id)
	half := len(answer) / 2
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n%s", names["id"], id, names["stamp"], stampOf(e.id, id), answer[:half])
	time.Sleep(answerPause)
	_, _ = conn.Write(answer[half:])
	_ = conn.CloseWrite()
	// The rest of the request is read, so that the end of the connection is no reset.
	_, _ = io.Copy(io.Discard, reader)
}

// resettingProxy forwards the connections to one replica, and resets some of them in the middle of an answer.
type resettingProxy struct {
	world    *world
	target   string
	listener net.Listener
	resets   func() bool
}

func (p *resettingProxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near.(*net.TCPConn))
	}
}

func (p *resettingProxy) serve(near *net.TCPConn) {
	defer near.Close()
	dialer := net.Dialer{
		Control: controlSocket,
	}
	raw, err := dialer.Dial("tcp", p.target)
	if err != nil {
		return
	}
	far := raw.(*net.TCPConn)
	defer far.Close()
	go forwardSlowly(far, near)
	first := make([]byte, 4<<10)
	n, err := far.Read(first)
	if err != nil {
		return
	}
	_, _ = near.Write(first[:n])
	if p.resets() {
		time.Sleep(resetDelay)
		_ = near.SetLinger(0)
		_ = far.SetLinger(0)
		return
	}
	_, _ = io.Copy(struct{ io.Writer }{near}, struct{ io.Reader }{far})
	_ = near.CloseWrite()
	// The rest of the request goes on to the replica until the sender ends the connection.
	time.Sleep(5 * answerPause)
}

// forwardSlowly forwards a request as a link of 16 Mbit/s does.
func forwardSlowly(to, from *net.TCPConn) {
	space := make([]byte, linkPart)
	for {
		n, err := from.Read(space)
		if n > 0 {
			time.Sleep(linkDelay)
			if _, err := to.Write(space[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// unframed resets connections in the middle of answers that have no length, while the long requests are still being sent.
func unframed(w *world, trouble bool) (map[string][]string, error) {
	if err := w.deploy(3, 2); err != nil {
		return nil, err
	}
	l := newLedger()
	var count, resets atomic.Int64
	for i := range 4 {
		inner, err := listenAsOnNetwork()
		if err != nil {
			return nil, err
		}
		outer, err := listenAsOnNetwork()
		if err != nil {
			return nil, err
		}
		e := &earlyReplica{
			replica: &replica{
				world:   w,
				ledger:  l,
				id:      fmt.Sprintf("i-early-%d", i+1),
				service: "orders",
				zone:    zoneOf(i),
				born:    time.Now().UnixMilli(),
				address: outer.Addr().String(),
				slots:   6,
				ended:   make(chan struct{}),
			},
			inner: inner,
		}
		p := &resettingProxy{
			world:    w,
			target:   inner.Addr().String(),
			listener: outer,
			resets: func() bool {
				if !trouble || count.Add(1)%resetEach != 0 {
					return false
				}
				resets.Add(1)
				return true
			},
		}
		go e.run()
		go p.run()
		go e.checkIn()
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
	b := &book{}
	body := []byte(strings.Repeat("order ", 41000))
	var group sync.WaitGroup
	end := time.Now().Add(15 * time.Second)
	for i := range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(w, true)
			for time.Now().Before(end) {
				b.add(c.call(context.Background(), w.entries[i%2], http.MethodPost, "/order/x", body, 2*time.Second))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	found := map[string][]string{}
	statuses := map[int]int{}
	for _, s := range b.all {
		statuses[s.status]++
		w.note("%s at %s: status %d, %d bytes, runs %v", s.id, s.entry, s.status, len(s.answer), l.of(s.id))
		if s.status != http.StatusOK {
			continue
		}
		for _, r := range l.of(s.id) {
			whole := answerOf(r.replica, s.id)
			if s.header.Get(names["stamp"]) == stampOf(r.replica, s.id) && string(whole) != string(s.answer) {
				found["MIXED"] = append(found["MIXED"], fmt.Sprintf("request %s at %s: status 200 with %d bytes of the %d of %s", s.id, s.entry, len(s.answer), len(whole), r.replica))
			}
		}
	}
	w.note("answers by status %v, connections reset %d, cut answers that looked complete %d", statuses, resets.Load(), len(found["MIXED"]))
	fmt.Printf("answers by status %v, connections reset %d, cut answers that looked complete %d\n", statuses, resets.Load(), len(found["MIXED"]))
	return found, nil
}
