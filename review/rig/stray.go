//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// stableWindow is stable_window_ms of the small sites.
const stableWindow = 4 * time.Second

// startServices publishes a first route and later a second one, and starts the number of replicas for each service.
// It returns the replicas of the second service, or nil if the deployment does not serve.
func startServices(d *deployment, replicas int) []*replica {
	var later []*replica
	for i := range 2 * replicas {
		service := "first"
		if i >= replicas {
			service = "later"
		}
		r, err := startReplica(d, fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("127.0.83.%d:0", i+1), zoneOf(i))
		if err != nil {
			fmt.Println(err)
			return nil
		}
		if service == "later" {
			r.isSound = len(later) == 0
			later = append(later, r)
		}
	}
	if !d.publish(configuration(7, "first")) || !d.awaitReady() {
		fmt.Println("the deployment does not start")
		return nil
	}
	if !d.publish(configuration(9, "first", "later")) {
		return nil
	}
	time.Sleep(stableWindow)
	if first, second := d.served("/first/", 30), d.served("/later/", 30); first < 30 || second < 30 {
		fmt.Printf("before the disruption %d and %d of 30 requests are served\n", first, second)
		return nil
	}
	return later
}

// judgeLaterRoute checks the rule on routes that were added later, in steady state.
func judgeLaterRoute(d *deployment, later []*replica) int {
	time.Sleep(2 * stableWindow)
	acked, refused := count(later)
	first, second := d.served("/first/", 40), d.served("/later/", 40)
	ackedAfter, refusedAfter := count(later)
	d.record.note("check-ins of the replicas of the later route meanwhile: %d acknowledged, %d not", ackedAfter-acked, refusedAfter-refused)
	return d.judge(first, second, 40)
}

// judge checks the rule on routes that were added later: those on the first route set the measure.
func (d *deployment) judge(first, later, requests int) int {
	summary := fmt.Sprintf("in steady state %d of %d requests on the first route are served, %d of %d on the later one", first, requests, later, requests)
	d.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case 4*later < first:
		return exitBroken
	case first < requests:
		return exitNotRun
	default:
		return exitHeld
	}
}

func count(replicas []*replica) (int64, int64) {
	acked, refused := int64(0), int64(0)
	for _, r := range replicas {
		acked += r.acked.Load()
		refused += r.refused.Load()
	}
	return acked, refused
}

// playStray has another writer check in under a service that no configuration names, at the addresses of replicas.
func playStray(d *deployment, trouble bool) int {
	later := startServices(d, 2)
	if later == nil {
		return exitNotRun
	}
	if trouble {
		for i, r := range later {
			body, _ := json.Marshal(checkIn{
				Service: "not-named", Address: r.address, Zone: r.zone, Version: "v1", Slots: 4, State: "ready",
				Sequence: 1, Born: time.Now().UnixMilli(),
			})
			status := d.call(http.MethodPut, i%d.count, fmt.Sprintf("%sstray-%d", names["replica-path"], i), body)
			d.record.note("another writer: check-in %s -> %d", body, status)
		}
	}
	return judgeLaterRoute(d, later)
}
