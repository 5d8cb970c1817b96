//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// hangupAfter is how long after its SIGTERM the settings of the instance change.
	hangupAfter = time.Second
	// lossSlack is loss_slack_ms of the small sites.
	lossSlack = 200 * time.Millisecond
	// stopCallers send requests that may run once to the instance that is stopped, one after the other on kept connections.
	stopCallers = 30
)

// stopLoad is what callers and replicas see around the stop of an instance.
type stopLoad struct {
	mutex   sync.Mutex
	reached map[string]bool
	// answers counts the answers by status; lost counts the requests that got none.
	answers map[int]int
	lost    int
}

func (l *stopLoad) reach(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reached[id] = true
}

// send sends requests to an entry instance until stop is closed.
func (l *stopLoad) send(d *deployment, entry int, stop <-chan struct{}) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if !l.sendOne(d, transport, entry) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// sendOne sends one request and reports whether it was answered with a success.
func (l *stopLoad) sendOne(d *deployment, transport *http.Transport, entry int) bool {
	id := newID()
	// A body that can't be sent again keeps the client from repeating the request by itself.
	request, err := http.NewRequest(http.MethodPost, "http://"+net.JoinHostPort(entryHost(entry), d.entryPort)+"/jobs/"+id, io.NopCloser(strings.NewReader("visit")))
	if err != nil {
		return false
	}
	request.ContentLength = int64(len("visit"))
	request.Host = "shop.example"
	request.Header.Set(names["request-id"], id)
	request.Header.Set(names["deadline"], "8000")
	sentAt := time.Now()
	response, err := transport.RoundTrip(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err == nil {
		l.answers[response.StatusCode]++
		return response.StatusCode == http.StatusOK
	}
	if l.reached[id] || time.Since(sentAt) > lossSlack {
		l.lost++
		d.record.note("caller: POST /jobs/%s at entry-%d: no answer after %d ms; reached a replica: %t", id, entry, time.Since(sentAt).Milliseconds(), l.reached[id])
	}
	return false
}

// playHangup stops an entry instance as planned, under load, and changes its settings meanwhile.
func playHangup(d *deployment, trouble bool) int {
	l := &stopLoad{reached: map[string]bool{}, answers: map[int]int{}}
	for i := range 4 {
		r, err := startReplica(d, fmt.Sprintf("i-jobs-%d", i), "jobs", fmt.Sprintf("127.0.83.%d:0", i+1), zoneOf(i))
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		r.slots = make(chan struct{}, 16)
		r.onReach = l.reach
	}
	published := configuration(7, "jobs")
	route := published["routes"].([]map[string]any)[0]
	route["kind"], route["timeout_ms"], route["target_latency_ms"] = "unsafe", 8000, 800
	if !d.publish(published) || !d.awaitReady() {
		fmt.Println("the deployment does not start")
		return exitNotRun
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range stopCallers {
		group.Go(func() { l.send(d, 0, stop) })
	}
	time.Sleep(2 * time.Second)
	stoppedAt := time.Now()
	d.signal("entry-0", syscall.SIGTERM)
	if trouble {
		time.Sleep(hangupAfter)
		path := filepath.Join(d.folder, "entry-0.json")
		content, err := os.ReadFile(path)
		if err == nil {
			// The first two seeds change places.
			first, second := net.JoinHostPort(controlHost(0), d.controlPort), net.JoinHostPort(controlHost(1), d.controlPort)
			content = []byte(strings.NewReplacer(first, second, second, first).Replace(string(content)))
			err = os.WriteFile(path, content, 0o600)
		}
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		d.record.note("platform: the settings of entry-0 name their seeds in another order")
		d.signal("entry-0", syscall.SIGHUP)
	}
	state, _ := d.commands["entry-0"].Process.Wait()
	d.record.note("entry-0 has ended %d ms after its SIGTERM: %v", time.Since(stoppedAt).Milliseconds(), state)
	close(stop)
	group.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	summary := fmt.Sprintf("entry-0 ended %d ms after its SIGTERM (%v); answers by status: %v; read whole and not answered: %d", time.Since(stoppedAt).Milliseconds(), state, l.answers, l.lost)
	d.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case l.lost > 0:
		return exitBroken
	case l.answers[http.StatusOK] == 0:
		return exitNotRun
	default:
		return exitHeld
	}
}
