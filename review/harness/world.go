//go:build review

package main

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's paths and header names.
var names = func() map[string]string {
	var n map[string]string
	check(json.Unmarshal(namesFile, &n))
	return n
}()

// sent is one attempt of a consumer.
type sent struct {
	id, kind, digest, machine, path string
	at                              time.Time
	status                          int
	end                             string
	kept                            bool
	calm                            bool
}

// world holds the stand-ins and what they saw.
type world struct {
	f        *fleet
	mutex    sync.Mutex
	sent     map[string]*sent
	runs     map[string][]*run
	stamps   map[string]*run
	replicas []*replica
	trouble  atomic.Bool
	broken   []string
	counts   map[string]int
	record   *os.File
	sets     [][]string
	begun    time.Time
	nextID   atomic.Int64
	// services names the service of the routes whose prefixes are the keys, where a scenario checks that.
	services map[string]string
}

func newWorld(f *fleet, recordPath string) *world {
	w := &world{f: f, sent: map[string]*sent{}, runs: map[string][]*run{}, stamps: map[string]*run{}, counts: map[string]int{}, begun: time.Now()}
	var err error
	w.record, err = os.Create(recordPath)
	check(err)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.noteLocked(format, arguments...)
}

func (w *world) noteLocked(format string, arguments ...any) {
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// breaks records a broken rule.
func (w *world) breaks(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	text := fmt.Sprintf(format, arguments...)
	w.broken = append(w.broken, text)
	w.noteLocked("BROKEN %s", text)
}

func (w *world) recordRun(r *replica, id, digest, path string) *run {
	body := make([]byte, 16*(1+rand.IntN(12)))
	for i := range body {
		body[i] = byte(rand.IntN(256))
	}
	x := &run{replica: r.id, service: r.service, id: id, digest: digest, at: time.Now(), body: body}
	w.mutex.Lock()
	x.stamp = fmt.Sprintf("%s.%d", r.id, len(w.stamps))
	w.stamps[x.stamp] = x
	w.runs[id] = append(w.runs[id], x)
	s := w.sent[id]
	count := len(w.runs[id])
	w.noteLocked("run      %s at %s of %s", id, r.id, r.service)
	w.mutex.Unlock()
	switch {
	case s == nil:
		w.breaks("UNASKED: %s runs %s, which nobody sent (%s)", r.id, id, path)
	case s.digest != digest:
		w.breaks("UNASKED: %s runs %s changed: sent %s, arrived %s", r.id, id, s.path, path)
	case w.services[prefixOf(path)] != "" && w.services[prefixOf(path)] != r.service:
		w.breaks("ROUTE: %s of %s runs %s, which is for %s (%s)", r.id, r.service, id, w.services[prefixOf(path)], path)
	case s.kind == "unsafe" && count > 1:
		w.breaks("TWICE: %s ran %d times", id, count)
	}
	return x
}

// prefixOf returns the first part of the path.
func prefixOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + first + "/"
}

// connection is a consumer's connection to an entry instance.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	machine *machine
	used    int
}

func (w *world) connect(m *machine) *connection {
	c, err := net.DialTimeout("tcp", w.f.frontOf(m), time.Second)
	if err != nil {
		return nil
	}
	return &connection{Conn: c, reader: bufio.NewReader(c), machine: m}
}

// ask sends one request and waits for the answer. It reports whether the connection goes on.
func (w *world) ask(c *connection, kind, method, host, path string, body []byte, timeout time.Duration, minShare float64, topK int) (*sent, bool) {
	id := fmt.Sprintf("%06x%010x", w.nextID.Add(1), rand.Uint64()>>24)
	s := &sent{id: id, kind: kind, digest: digestOf(method, path, body), machine: c.machine.name, at: time.Now(), path: path, kept: c.used > 0}
	c.used++
	w.mutex.Lock()
	w.sent[id] = s
	w.noteLocked("sent     %s %s %s %s to %s, %d bytes", id, kind, method, path, c.machine.name, len(body))
	w.mutex.Unlock()
	framing := ""
	content := body
	if len(body) > 0 && rand.IntN(3) == 0 {
		framing = "Transfer-Encoding: chunked\r\n"
		var b bytes.Buffer
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 1+rand.IntN(9000))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
		content = b.Bytes()
	} else if len(body) > 0 || method != "GET" {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, path, host, names["id"], id, names["deadline"], timeout.Milliseconds(), framing)
	if _, err := io.WriteString(c, head+string(content)); err != nil {
		w.finish(s, 0, "not sent: "+short(err))
		return s, false
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		w.finish(s, 0, "no answer: "+short(err))
		return s, false
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		w.finish(s, 0, "answer cut: "+short(err))
		return s, false
	}
	w.finish(s, response.StatusCode, fmt.Sprintf("%d stamp %q %s", response.StatusCode, response.Header.Get(names["stamp"]), response.Header.Get("Retry-After")))
	w.judge(s, response, answer, minShare, topK)
	return s, !response.Close
}

func short(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

func (w *world) finish(s *sent, status int, end string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.status, s.end = status, end
	key := end
	if status > 0 {
		key = strconv.Itoa(status)
	}
	w.counts[s.kind+" "+key]++
	w.noteLocked("answered %s %s", s.id, end)
}

// judge checks an answer against the runs.
func (w *world) judge(s *sent, response *http.Response, body []byte, minShare float64, topK int) {
	w.mutex.Lock()
	stamp := response.Header.Get(names["stamp"])
	x := w.stamps[stamp]
	w.mutex.Unlock()
	if response.Header.Get(names["id"]) != "" && response.Header.Get(names["id"]) != s.id {
		w.breaks("MIXED: %s got the answer to %s", s.id, response.Header.Get(names["id"]))
	}
	if s.kind == "gather" && response.StatusCode == 200 {
		w.judgeGathered(s, response, body, minShare, topK)
		return
	}
	switch {
	case response.StatusCode/100 == 2 && (x == nil || x.id != s.id || x.status != 200 || !bytes.Equal(x.body, body)):
		w.breaks("MIXED: %s got %d with stamp %q, %d bytes, which is no good answer to it", s.id, response.StatusCode, stamp, len(body))
	case stamp != "" && (x == nil || x.id != s.id || x.status != response.StatusCode):
		w.breaks("MIXED: %s got %d with the stamp %q of another answer", s.id, response.StatusCode, stamp)
	}
}

func (w *world) judgeGathered(s *sent, response *http.Response, body []byte, minShare float64, topK int) {
	missing, _ := strconv.Atoi(response.Header.Get(names["missingParts"]))
	var services []string
	var records []string
	for _, stamp := range strings.Split(strings.Join(response.Header.Values(names["partStamps"]), ","), ",") {
		w.mutex.Lock()
		x := w.stamps[strings.TrimSpace(stamp)]
		w.mutex.Unlock()
		if x == nil || x.id != s.id || x.status != 200 {
			w.breaks("MIXED: %s got a part with stamp %q", s.id, stamp)
			return
		}
		services = append(services, x.service)
		for i := 0; i+16 <= len(x.body); i += 16 {
			records = append(records, string(x.body[i:i+16]))
		}
	}
	slices.Sort(services)
	if len(slices.Compact(slices.Clone(services))) != len(services) {
		w.breaks("MIXED: %s got two parts of one service", s.id)
	}
	w.mutex.Lock()
	sets := w.sets
	w.mutex.Unlock()
	if !slices.ContainsFunc(sets, func(set []string) bool {
		return len(set) == len(services)+missing && !slices.ContainsFunc(services, func(name string) bool { return !slices.Contains(set, name) })
	}) {
		w.breaks("MIXED: %s got %d parts, %d missing, of no set that a config names", s.id, len(services), missing)
	}
	if float64(len(services)) < minShare*float64(len(services)+missing)-1e-9 {
		w.breaks("MIXED: %s got %d parts, %d missing, below the least share", s.id, len(services), missing)
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(topK, len(records))], ""); want != string(body) {
		w.breaks("MIXED: %s got other records than the greatest of the parts", s.id)
	}
}

// close checks what can be checked only at the end.
func (w *world) close() {
	w.mutex.Lock()
	var refused, lost []string
	for id, s := range w.sent {
		count := len(w.runs[id])
		if s.kind == "unsafe" && count > 0 && slices.Contains([]int{408, 421, 429, 503}, s.status) {
			refused = append(refused, fmt.Sprintf("REFUSED: %s was answered %d and ran %d times", id, s.status, count))
		}
		if s.calm && count > 0 && (strings.HasPrefix(s.end, "no answer") || strings.HasPrefix(s.end, "answer cut")) {
			lost = append(lost, fmt.Sprintf("LOST: %s (%s) was passed on by %s and has no answer: %s", id, s.kind, s.machine, s.end))
		}
	}
	w.mutex.Unlock()
	for _, text := range append(refused, lost...) {
		w.breaks("%s", text)
	}
	for key, count := range w.counts {
		w.note("count    %s: %d", key, count)
	}
	w.note("%d requests, %d runs, %d broken", len(w.sent), len(w.stamps), len(w.broken))
	_ = w.record.Close()
}

// publish sends a config until it is acknowledged.
func (w *world) publish(document map[string]any) bool {
	content, err := json.Marshal(document)
	check(err)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		m := w.f.controls[rand.IntN(len(w.f.controls))]
		status, _ := call("PUT", "http://"+w.f.controlOf(m)+names["configuration"], content, 3*time.Second)
		w.note("config   version %v at %s: %d", document["version"], m.name, status)
		if status == 200 {
			return true
		}
		if status/100 == 4 {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all entry instances are ready.
func (w *world) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.f.entries {
			if status, _ := call("GET", fmt.Sprintf("http://%s:%d%s", m.ip, w.f.readyPort, names["readiness"]), nil, time.Second); status == 200 {
				ready++
			}
		}
		if ready == len(w.f.entries) {
			return true
		}
	}
	return false
}
