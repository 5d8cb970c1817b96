//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// lateBy is how late the last call of the earlier boot arrives.
const lateBy = 3 * time.Second

// playLate restarts the replicas of the later route under their ids, one after the other. The last call of each
// earlier boot is late, so that it arrives after the first check-in of the next boot.
func playLate(d *deployment, trouble bool) int {
	later := startServices(d, 2)
	if later == nil {
		return exitNotRun
	}
	for i, r := range later {
		r.mutex.Lock()
		r.state = "draining"
		r.mutex.Unlock()
		if !r.checkIn() {
			return exitNotRun
		}
		d.record.note("replica %s: draining is acknowledged", r.id)
		time.Sleep(stableWindow)
		r.end()
		leave := func() {
			status := d.call(http.MethodDelete, i%d.count, names["replica-path"]+r.id, nil)
			d.record.note("replica %s (born %d): DELETE arrives -> %d", r.id, r.born, status)
		}
		if !trouble {
			leave()
		}
		time.Sleep(500 * time.Millisecond)
		next, err := startReplica(d, r.id, r.service, r.address, r.zone)
		if err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		later[i] = next
		time.Sleep(lateBy - 500*time.Millisecond)
		if trouble {
			leave()
		}
		time.Sleep(stableWindow)
	}
	return judgeLaterRoute(d, later)
}
