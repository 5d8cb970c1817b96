//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainServer serves requests and takes the target of the request line as it stands there.
type plainServer struct {
	record *recorder
	mutex  sync.Mutex
	// targets holds the targets of the requests that were run, by request id.
	targets map[string]string
}

func (s *plainServer) run(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *plainServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		id := ""
		for {
			field, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if strings.TrimSpace(field) == "" {
				break
			}
			if name, value, _ := strings.Cut(field, ":"); strings.EqualFold(name, names["request-id"]) {
				id = strings.TrimSpace(value)
			}
		}
		s.record.note("plain replica runs %q, id %s", strings.TrimSpace(line), id)
		if words := strings.Fields(line); len(words) == 3 && id != "" {
			s.mutex.Lock()
			s.targets[id] = words[1]
			s.mutex.Unlock()
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: plain.%s\r\nContent-Length: 2\r\n\r\nok", names["request-id"], id, names["stamp"], id)
	}
}

// askPath sends a GET request whose path is sent as it is, and returns its id and the status, 0 without an answer.
func (d *deployment) askPath(entry int, host, path string) (string, int) {
	id := newID()
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(entryHost(entry), d.entryPort), time.Second)
	if err != nil {
		return id, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n\r\n", path, host, names["request-id"], id, names["deadline"])
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return id, 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.record.note("caller: GET %s (%s, id %s) at entry-%d -> %d, signature %q", path, host, id, entry, response.StatusCode, response.Header.Get(names["stamp"]))
	return id, response.StatusCode
}

// playSlashes sends requests whose path begins with two slashes along routes with the prefix "/", to a replica that
// takes the path as it stands and to one that checks it.
func playSlashes(d *deployment, trouble bool) int {
	const requests = 20
	socket, err := net.Listen("tcp", "127.0.83.9:0")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer socket.Close()
	plain := &plainServer{record: d.record, targets: map[string]string{}}
	go plain.run(socket)
	// Only its check-ins are those of a replica; requests go to the plain server.
	announced := &replica{
		id: "i-plain", service: "plain", address: socket.Addr().String(), zone: zoneOf(0), deployment: d,
		born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}), done: make(chan struct{}),
	}
	go announced.run()
	if _, err := startReplica(d, "i-strict", "strict", "127.0.83.8:0", zoneOf(1)); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	published := configuration(7, "plain", "strict")
	for i, route := range published["routes"].([]map[string]any) {
		route["host"] = []string{"plain.example", "strict.example"}[i]
		route["path_prefix"] = "/"
	}
	if !d.publish(published) || !d.awaitReady() {
		fmt.Println("the deployment does not start")
		return exitNotRun
	}
	time.Sleep(stableWindow)
	path := "/shop/item"
	if trouble {
		path = "//shop/item"
	}
	changed, denied, served := 0, 0, 0
	for i := range requests {
		id, status := d.askPath(i%d.count, "plain.example", path)
		plain.mutex.Lock()
		target := plain.targets[id]
		plain.mutex.Unlock()
		if target != "" && target != path {
			changed++
		}
		if status == http.StatusOK {
			served++
		}
		_, status = d.askPath(i%d.count, "strict.example", path)
		switch {
		case status == http.StatusOK:
			served++
		case status >= 300 && status < 500:
			denied++
		}
	}
	summary := fmt.Sprintf("of %d requests for %s to each replica: %d run with another path by the plain one, %d ended with a 4xx at the strict one, %d of all served", requests, path, changed, denied, served)
	d.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case changed > 0 || denied > 5:
		return exitBroken
	case served < 2*requests:
		return exitNotRun
	default:
		return exitHeld
	}
}
