//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxRetryWait is a third of the time that callers have.
const maxRetryWait = 600 * time.Millisecond

// askRetrying asks for the path like a caller that retries once, at another entry instance, after any failure.
func (d *deployment) askRetrying(entry int, path string) int {
	status, retryAfter := d.askFor(entry, path)
	if status == http.StatusOK {
		return status
	}
	time.Sleep(min(retryAfter, maxRetryWait))
	status, _ = d.askFor((entry+1)%d.count, path)
	return status
}

const (
	// lostWindow is the length of the disruption, and maxLostShare the share of the requests run by the replicas that it
	// concerns whose answers may be lost.
	lostWindow   = 4 * time.Second
	maxLostShare = 0.4
	// soundRuns is how many requests are answered in the window before an answer is lost.
	soundRuns = 12
	// lostInARow is how many replicas lose an answer one after the other.
	lostInARow = 3
)

// loser decides which answers of the later service are lost while the disruption lasts. Its first replica never loses
// one. An answer of that replica ends a row, after which another one may begin.
type loser struct {
	mutex      sync.Mutex
	isActive   bool
	runs, lost int
	row        map[string]bool
}

func (l *loser) loses(r *replica, isSound bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isActive || r.service != "later" {
		return false
	}
	if isSound {
		clear(l.row)
		return false
	}
	l.runs++
	if l.runs <= soundRuns || len(l.row) >= lostInARow || float64(l.lost+1) > maxLostShare*float64(l.runs) {
		if len(l.row) < lostInARow {
			clear(l.row)
		}
		return false
	}
	l.row[r.id] = true
	l.lost++
	return true
}

func (l *loser) setActive(isActive bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isActive = isActive
}

// playLost has four of the five replicas of the later route lose some answers: they run the request and reset the
// connection. All callers of that route ask for the same thing.
func playLost(d *deployment, trouble bool) int {
	const replicas, path = 5, "/later/report"
	if startServices(d, replicas) == nil {
		return exitNotRun
	}
	d.record.note("disruption begins: %t", trouble)
	d.loser.setActive(trouble)
	served, requests := 0, 0
	for end := time.Now().Add(lostWindow); time.Now().Before(end); requests++ {
		if d.askRetrying(requests%d.count, path) == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.loser.setActive(false)
	summary := fmt.Sprintf("disruption: %d of %d answers of four replicas were lost, %d in a row; %d of %d requests were served", d.loser.lost, d.loser.runs, len(d.loser.row), served, requests)
	d.record.note("%s", summary)
	fmt.Println(summary)
	time.Sleep(2 * stableWindow)
	first, second := 0, 0
	const judged = 40
	for i := range judged {
		if d.askRetrying(i%d.count, "/first/report") == http.StatusOK {
			first++
		}
		if d.askRetrying(i%d.count, path) == http.StatusOK {
			second++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return d.judge(first, second, judged)
}
