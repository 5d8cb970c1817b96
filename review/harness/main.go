//go:build review

// Command harness plays a small deployment for the scripts of the second review: it starts the project's control and entry instances, and stands in for operator, replicas and callers.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

func main() {
	scenario := flag.String("scenario", "", "what to play")
	record := flag.String("record", "record.txt", "the file of the record")
	root := flag.String("root", ".", "the repository")
	seconds := flag.Int("seconds", 40, "the length")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := scenarios[*scenario]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(2)
	}
	os.Exit(play(*root, *record, trouble, time.Duration(*seconds)*time.Second))
}

// scenarios holds what can be played; each returns 0 if the rules held, 1 if one was broken, and 2 if it could not run.
var scenarios = map[string]func(root, record string, trouble bool, length time.Duration) int{
	"chaos":   playChaos,
	"term":    playTerm,
	"forged":  playForged,
	"foreign": playForeign,
	"failing": playFailing,
}

func route(name, prefix, kind string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
		"target_latency_ms": 300, "priority": 1, "attempts": 2,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

func config(version int, routes []any, services []string) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 26, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// begin starts the fleet and reports whether it serves.
func (w *world) begin(document map[string]any) bool {
	for _, m := range w.f.all() {
		m.start(w.f.root)
	}
	if !w.publish(document) || !w.awaitReady(20*time.Second) {
		return false
	}
	time.Sleep(2500 * time.Millisecond)
	return true
}

// end ends everything and returns the exit status.
func (w *world) end() int {
	w.close()
	for _, r := range w.replicas {
		r.crash()
	}
	w.f.close()
	for i, text := range w.broken {
		if i < 12 {
			fmt.Println(text)
		}
	}
	fmt.Printf("%d requests, %d runs, %d broken\n", len(w.sent), len(w.stamps), len(w.broken))
	for key, count := range w.counts {
		fmt.Printf("   %s: %d\n", key, count)
	}
	if len(w.broken) > 0 {
		return 1
	}
	return 0
}

func playChaos(root, record string, trouble bool, length time.Duration) int {
	f := newFleet(root, 3, 3)
	w := newWorld(f, record)
	b := behaviour{
		reject: .03, resetAfter: .02, resetBefore: .02, cut: .02, extraLate: .04, garbage: .01, early: .1, unframed: .05, interim: .03,
		closeAfter: .03, dropIdle: .05, fail: .02, workMs: 12, unframedReset: .4,
	}
	var shards, next []string
	services := []string{"alpha", "beta", "gamma"}
	for i := range 8 {
		shards = append(shards, fmt.Sprintf("shard%d", i))
	}
	for i := range 10 {
		next = append(next, fmt.Sprintf("newer%d", i))
	}
	w.sets = [][]string{shards, next}
	place := func(service string, count, slots int) {
		for i := range count {
			w.newReplica(service, zones[i%3], f.controls[0].ip[:len(f.controls[0].ip)-2]+"9:0", slots, b)
		}
	}
	services = append(append(services, shards...), next...)
	document := func(version int) map[string]any {
		set := shards
		if version/4%2 == 1 {
			set = next
		}
		single := []string{"alpha", "beta"}[version%2]
		return config(version, []any{
			route("pay", "/pay/", "unsafe", map[string]any{"service": single}),
			route("get", "/get/", "safe", map[string]any{"service": single}),
			route("split", "/split/", "unsafe", map[string]any{"split": []any{map[string]any{"service": "alpha", "weight": 3}, map[string]any{"service": "gamma", "weight": 1 + version%3}}}),
			route("q", "/q/", "safe", map[string]any{"gather": set, "top_k": 5, "min_shard_share": 0.75, "timeout_ms": 800, "target_latency_ms": 120}),
		}, services)
	}
	for _, m := range f.all() {
		m.start(root)
	}
	time.Sleep(2 * time.Second)
	if !w.publish(document(1)) {
		return 2
	}
	for _, name := range []string{"alpha", "beta", "gamma"} {
		place(name, 3, 3)
	}
	for _, name := range append(append([]string{}, shards...), next...) {
		place(name, 2, 2)
	}
	if !w.awaitReady(20 * time.Second) {
		return 2
	}
	time.Sleep(2 * time.Second)
	w.trouble.Store(trouble)
	stop := time.Now().Add(length)
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { w.consume(stop) })
	}
	if trouble {
		group.Go(func() { w.disturb(stop, document) })
	}
	group.Wait()
	w.trouble.Store(false)
	time.Sleep(4 * time.Second)
	return w.end()
}

// consume sends requests of all kinds until the time.
func (w *world) consume(stop time.Time) {
	var c *connection
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		if c == nil || rand.IntN(8) == 0 {
			if c != nil {
				_ = c.Close()
			}
			if c = w.connect(w.f.entries[rand.IntN(len(w.f.entries))]); c == nil {
				continue
			}
		}
		m, before := c.machine, time.Now()
		var s *sent
		var goesOn bool
		tail := fmt.Sprintf("%x?n=%d", rand.IntN(1000), rand.IntN(9))
		switch rand.IntN(6) {
		case 0, 1:
			s, goesOn = w.ask(c, "unsafe", "POST", "shop.example", "/pay/"+tail, bytes.Repeat([]byte("p"), rand.IntN(300)), 2500*time.Millisecond, 0, 0)
		case 2:
			s, goesOn = w.ask(c, "unsafe", "POST", "shop.example", "/split/"+tail, bytes.Repeat([]byte("s"), rand.IntN(120000)), 2500*time.Millisecond, 0, 0)
		case 3:
			s, goesOn = w.ask(c, "safe", "GET", "shop.example", "/get/"+tail, nil, 2*time.Second, 0, 0)
		default:
			s, goesOn = w.ask(c, "gather", "GET", "shop.example", "/q/"+tail, nil, 800*time.Millisecond, 0.75, 5)
		}
		s.calm = before.Sub(m.disturbedAt) > 4*time.Second && !m.disturbedAt.After(before) && time.Since(before) < 2400*time.Millisecond
		if !goesOn {
			_ = c.Close()
			c = nil
		}
	}
}

// disturb does one thing after the other to the fleet and the replicas.
func (w *world) disturb(stop time.Time, document func(int) map[string]any) {
	version := 1
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(200+rand.IntN(900)) * time.Millisecond)
		entry := w.f.entries[rand.IntN(len(w.f.entries))]
		control := w.f.controls[rand.IntN(len(w.f.controls))]
		switch rand.IntN(10) {
		case 0, 1:
			version += 1 + rand.IntN(3)
			w.publish(document(version))
		case 2, 3:
			w.mutex.Lock()
			r := w.replicas[rand.IntN(len(w.replicas))]
			w.mutex.Unlock()
			if r.isStopped() {
				continue
			}
			w.note("replica %s of %s crashes", r.id, r.service)
			r.crash()
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			address := r.addr
			if rand.IntN(2) == 0 {
				address = w.f.controls[0].ip[:len(w.f.controls[0].ip)-2] + "9:0"
			}
			w.newReplica(r.service, r.zone, address, r.slots, r.b)
		case 4:
			w.note("%s stops for a while", entry.name)
			entry.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
			entry.signal(syscall.SIGCONT)
		case 5:
			w.note("%s is killed", entry.name)
			entry.signal(syscall.SIGKILL)
			entry.restart(w.f.root)
		case 6:
			w.note("%s is terminated", entry.name)
			entry.signal(syscall.SIGTERM)
			select {
			case <-entry.exited:
			case <-time.After(6 * time.Second):
				w.note("%s is killed after its grace", entry.name)
				entry.signal(syscall.SIGKILL)
			}
			entry.restart(w.f.root)
		case 7:
			w.note("%s is killed", control.name)
			control.signal(syscall.SIGKILL)
			control.restart(w.f.root)
		case 8:
			w.note("%s stops for a while", control.name)
			control.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
			control.signal(syscall.SIGCONT)
		default:
			time.Sleep(time.Second)
		}
		for _, m := range w.f.all() {
			if m.hasExited() {
				w.breaks("a process ended by itself: %s", m.name)
				m.restart(w.f.root)
			}
		}
	}
}

// playTerm terminates the entry instances in turn while requests of all lengths are on their way.
func playTerm(root, record string, trouble bool, length time.Duration) int {
	f := newFleet(root, 3, 3)
	w := newWorld(f, record)
	b := behaviour{workMs: 200}
	for _, m := range f.all() {
		m.start(root)
	}
	time.Sleep(2 * time.Second)
	if !w.publish(config(1, []any{
		route("pay", "/pay/", "unsafe", map[string]any{"service": "alpha", "timeout_ms": 8000, "target_latency_ms": 800}),
		route("get", "/get/", "safe", map[string]any{"service": "beta", "timeout_ms": 8000, "target_latency_ms": 800}),
	}, []string{"alpha", "beta"})) {
		return 2
	}
	for i := range 4 {
		w.newReplica("alpha", zones[i%3], f.controls[0].ip[:len(f.controls[0].ip)-2]+"9:0", 10, b)
		w.newReplica("beta", zones[i%3], f.controls[0].ip[:len(f.controls[0].ip)-2]+"9:0", 10, b)
	}
	if !w.awaitReady(20 * time.Second) {
		return 2
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(length)
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() {
			var c *connection
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
				if c == nil {
					if c = w.connect(f.entries[rand.IntN(len(f.entries))]); c == nil {
						continue
					}
				}
				m := c.machine
				started := m.startedAt
				var s *sent
				var goesOn bool
				if rand.IntN(2) == 0 {
					s, goesOn = w.ask(c, "unsafe", "POST", "shop.example", "/pay/1", bytes.Repeat([]byte("p"), rand.IntN(30000)), 8*time.Second, 0, 0)
				} else {
					s, goesOn = w.ask(c, "safe", "GET", "shop.example", "/get/1", nil, 8*time.Second, 0, 0)
				}
				s.calm = time.Since(started) > time.Second && m.startedAt == started
				if !goesOn {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	group.Go(func() {
		for i := 0; trouble && time.Now().Before(stop); i++ {
			m := f.entries[i%len(f.entries)]
			w.note("%s is terminated", m.name)
			m.signal(syscall.SIGTERM)
			select {
			case <-m.exited:
			case <-time.After(6 * time.Second):
				w.note("%s is killed after its grace", m.name)
				m.signal(syscall.SIGKILL)
			}
			time.Sleep(100 * time.Millisecond)
			m.restart(root)
			time.Sleep(time.Second)
		}
	})
	group.Wait()
	time.Sleep(time.Second)
	return w.end()
}

// drainMs is the bound drain_ms of a small site.
const drainMs = 3000

// playForged has another writer check in for a replica, with fields missing, before the replica drains.
func playForged(root, record string, trouble bool, _ time.Duration) int {
	f := newFleet(root, 3, 2)
	w := newWorld(f, record)
	if !w.begin(config(1, []any{
		route("get", "/get/", "safe", map[string]any{"service": "alpha"}),
		route("pay", "/pay/", "unsafe", map[string]any{"service": "alpha"}),
	}, []string{"alpha"})) {
		w.end()
		return 2
	}
	network := f.controls[0].ip[:len(f.controls[0].ip)-2]
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, w.newReplica("alpha", zones[i], network+"9:0", 4, behaviour{workMs: 10}))
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(18 * time.Second)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { w.consumePlain(i, stop) })
	}
	time.Sleep(4 * time.Second)
	leaving := replicas[0]
	if trouble {
		status, _ := call("PUT", "http://"+f.controlOf(f.controls[0])+names["replicas"]+leaving.id, []byte(fmt.Sprintf(
			`{"service":%q,"address":%q,"state":"ready","sequence":%d,"born":%d}`, leaving.service, leaving.addr, 3, time.Now().UnixMilli())), time.Second)
		w.note("check-in of another writer for %s, without zone, version, slots and warmup_left_ms: %d", leaving.id, status)
		time.Sleep(2500 * time.Millisecond)
	}
	ackedAt, ok := w.drain(leaving)
	if !ok {
		group.Wait()
		w.end()
		return 2
	}
	group.Wait()
	w.judgeDrain(leaving, ackedAt)
	return w.end()
}

// consumePlain sends safe and unsafe requests over kept connections until the time.
func (w *world) consumePlain(i int, stop time.Time) {
	var c *connection
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		if c == nil {
			if c = w.connect(w.f.entries[i%len(w.f.entries)]); c == nil {
				continue
			}
		}
		var goesOn bool
		if rand.IntN(2) == 0 {
			_, goesOn = w.ask(c, "unsafe", "POST", "shop.example", "/pay/1", []byte("one"), 2*time.Second, 0, 0)
		} else {
			_, goesOn = w.ask(c, "safe", "GET", "shop.example", "/get/1", nil, 2*time.Second, 0, 0)
		}
		if !goesOn {
			_ = c.Close()
			c = nil
		}
	}
}

// drain has the replica report that it drains until that is acknowledged, and returns when it was.
func (w *world) drain(r *replica) (time.Time, bool) {
	r.setState("draining")
	for range 20 {
		if r.announce() {
			w.note("replica %s drains, acknowledged", r.id)
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// judgeDrain checks that no request has reached the replica later than the bound after the acknowledgement.
func (w *world) judgeDrain(r *replica, ackedAt time.Time) {
	w.mutex.Lock()
	late := 0
	var last time.Time
	for _, runs := range w.runs {
		for _, x := range runs {
			if x.replica == r.id && x.at.After(ackedAt.Add(drainMs*time.Millisecond)) {
				late++
				if x.at.After(last) {
					last = x.at
				}
			}
		}
	}
	w.mutex.Unlock()
	if late > 0 {
		w.breaks("DRAIN: %d requests ran at %s later than %d ms after its drain was acknowledged, the last %.1f s after", late, r.id, drainMs, last.Sub(ackedAt).Seconds())
	}
}

// playForeign has another writer check in under the id and the address of a replica of one service, as one of another, with fields missing.
func playForeign(root, record string, trouble bool, _ time.Duration) int {
	f := newFleet(root, 3, 2)
	w := newWorld(f, record)
	w.services = map[string]string{"/get/": "alpha", "/pay/": "alpha", "/other/": "beta"}
	if !w.begin(config(1, []any{
		route("get", "/get/", "safe", map[string]any{"service": "alpha"}),
		route("pay", "/pay/", "unsafe", map[string]any{"service": "alpha"}),
		route("other", "/other/", "safe", map[string]any{"service": "beta"}),
	}, []string{"alpha", "beta"})) {
		w.end()
		return 2
	}
	network := f.controls[0].ip[:len(f.controls[0].ip)-2]
	var others []*replica
	for i := range 3 {
		w.newReplica("alpha", zones[i], network+"9:0", 4, behaviour{workMs: 10})
		others = append(others, w.newReplica("beta", zones[i], network+"9:0", 4, behaviour{workMs: 10}))
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(14 * time.Second)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { w.consumePlain(i, stop) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		named := others[0]
		status, _ := call("PUT", "http://"+f.controlOf(f.controls[0])+names["replicas"]+named.id, []byte(fmt.Sprintf(
			`{"service":"alpha","address":%q,"state":"ready","sequence":%d,"born":%d}`, named.addr, 3, time.Now().UnixMilli())), time.Second)
		w.note("check-in of another writer for %s of beta as one of alpha, without zone, version, slots and warmup_left_ms: %d", named.id, status)
	}
	group.Wait()
	return w.end()
}

// playFailing has a replica fail part of its runs with an answer of its own that doesn't say that it has not run. Callers come again after a promise, as the pages say.
func playFailing(root, record string, trouble bool, _ time.Duration) int {
	f := newFleet(root, 3, 2)
	w := newWorld(f, record)
	if !w.begin(config(1, []any{route("pay", "/pay/", "unsafe", map[string]any{"service": "alpha"})}, []string{"alpha"})) {
		w.end()
		return 2
	}
	network := f.controls[0].ip[:len(f.controls[0].ip)-2]
	for i := range 3 {
		b := behaviour{workMs: 10}
		if i == 0 {
			b.fail, b.failStatus = 0.4, 503
		}
		w.newReplica("alpha", zones[i], network+"9:0", 4, b)
	}
	time.Sleep(3 * time.Second)
	w.trouble.Store(trouble)
	stop := time.Now().Add(8 * time.Second)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				// Both attempts are for the same work, which the body names.
				work := []byte(fmt.Sprintf("work %d-%d", i, n))
				for attempt := range 2 {
					c := w.connect(f.entries[(i+attempt)%len(f.entries)])
					if c == nil {
						break
					}
					s, _ := w.ask(c, "unsafe", "POST", "shop.example", "/pay/1", work, 2*time.Second, 0, 0)
					_ = c.Close()
					if s.status != 503 && s.status != 429 {
						break
					}
					w.note("%s was answered %d, which promises that it has not run; the caller comes again", s.id, s.status)
				}
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	return w.end()
}
