//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// goneAfter is how long after its caller has left a request may still reach a replica.
	goneAfter = 500 * time.Millisecond
	// allowedLate is how many requests may be later, "a few".
	allowedLate = 5
	// usualPerSecond is the usual traffic. It is burstFactor times as much for burstLength, from burstStart on.
	usualPerSecond = 34
	burstFactor    = 1.7
	burstStart     = 2 * time.Second
	burstLength    = 3 * time.Second
	trafficLength  = 10 * time.Second
	// leaveShare of the callers leave after leaveAfter, half of the route's objective, for leaveLength from burstStart on.
	leaveShare  = 0.3
	leaveAfter  = 400 * time.Millisecond
	leaveLength = 8 * time.Second
	// jobWork is how long a replica works on a request, in each of its jobSlots slots.
	jobWork  = 220 * time.Millisecond
	jobSlots = 2
)

// leavings records when callers have left and when their requests reached a replica.
type leavings struct {
	mutex   sync.Mutex
	leftAt  map[string]time.Time
	reached map[string]time.Time
	runs    map[string]int
}

func (l *leavings) reach(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reached[id] = time.Now()
	l.runs[id]++
}

func (l *leavings) leave(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leftAt[id] = time.Now()
}

// post sends a request that may run once at most. Its caller leaves after the timeout.
func (d *deployment) post(l *leavings, entry int, path string, timeout time.Duration, leaves bool) int {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(entryHost(entry), d.entryPort)+path, strings.NewReader("visit "+id))
	if err != nil {
		return 0
	}
	request.Host = "shop.example"
	request.Header.Set(names["request-id"], id)
	request.Header.Set(names["deadline"], "8000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		if leaves {
			l.leave(id)
		}
		d.record.note("caller: POST %s (id %s) at entry-%d: the caller has left (%t)", path, id, entry, leaves)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.record.note("caller: POST %s (id %s) at entry-%d -> %d", path, id, entry, response.StatusCode)
	return response.StatusCode
}

// playGone has many callers come at once, so that requests wait for connections to the replicas, and some of them leave.
func playGone(d *deployment, trouble bool) int {
	l := &leavings{leftAt: map[string]time.Time{}, reached: map[string]time.Time{}, runs: map[string]int{}}
	for i := range 4 {
		r, err := startReplica(d, fmt.Sprintf("i-jobs-%d", i), "jobs", fmt.Sprintf("127.0.83.%d:0", i+1), zoneOf(i))
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		r.slots = make(chan struct{}, jobSlots)
		r.onReach = l.reach
	}
	published := configuration(7, "jobs")
	route := published["routes"].([]map[string]any)[0]
	route["kind"], route["timeout_ms"], route["target_latency_ms"] = "unsafe", 8000, 800
	published["services"].([]map[string]any)[0]["max_connections"] = 11
	if !d.publish(published) || !d.awaitReady() {
		fmt.Println("the deployment does not start")
		return exitNotRun
	}
	time.Sleep(2 * stableWindow)
	var group sync.WaitGroup
	sent := 0
	for start := time.Now(); time.Since(start) < trafficLength; sent++ {
		since := time.Since(start) - burstStart
		leaves := trouble && since >= 0 && since < leaveLength && float64(sent%10) < 10*leaveShare
		timeout := 8 * time.Second
		if leaves {
			timeout = leaveAfter
		}
		entry, path := sent%d.count, fmt.Sprintf("/jobs/%d", sent)
		group.Go(func() { d.post(l, entry, path, timeout, leaves) })
		rate := float64(usualPerSecond)
		if trouble && since >= 0 && since < burstLength {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	late, twice := 0, 0
	for id, leftAt := range l.leftAt {
		if reachedAt, ok := l.reached[id]; ok && reachedAt.Sub(leftAt) > goneAfter {
			late++
			d.record.note("request %s reached a replica %d ms after its caller had left", id, reachedAt.Sub(leftAt).Milliseconds())
		}
	}
	for _, runs := range l.runs {
		if runs > 1 {
			twice++
		}
	}
	summary := fmt.Sprintf("%d of %d requests reached a replica, %d of them twice; %d callers left; %d of their requests reached a replica over 0.5 s later", len(l.reached), sent, twice, len(l.leftAt), late)
	d.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case late > allowedLate:
		return exitBroken
	case len(l.reached) < sent/2:
		return exitNotRun
	default:
		return exitHeld
	}
}
