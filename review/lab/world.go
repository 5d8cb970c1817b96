//go:build review

// Command review-lab plays the scripted cases of the third review: it starts the project's programs as processes, plays the platform, the replicas and the callers, and records what was sent, answered and run.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

//go:embed names.json
var namesFile []byte

// names are the paths and header names of the platform.
var names map[string]string

func loadNames() error { return json.Unmarshal(namesFile, &names) }

// exitCannotRun is the status of a case that could not run.
const exitCannotRun = 2

// world is a small deployment on loopback addresses.
type world struct {
	folder   string
	started  time.Time
	record   *os.File
	mutex    sync.Mutex
	closing  sync.Once
	controls []*process
	entries  []*process
	replicas []*replica
	program  string
	// replicaCount numbers the replicas.
	replicaCount atomic.Int64

	callerPort, readyPort, controlPort int
}

func newWorld(program, record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{
		folder:  folder,
		started: time.Now(),
		record:  file,
		program: program,
	}, nil
}

// note adds a line to the record.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and removes the folder.
func (w *world) close() { w.closing.Do(w.closeOnce) }

func (w *world) closeOnce() {
	for _, p := range append(append([]*process{}, w.entries...), w.controls...) {
		p.kill()
	}
	for _, r := range w.replicas {
		r.stop()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// freePorts returns ports that were free on the address just now.
func freePorts(host string, count int) ([]int, error) {
	var ports []int
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for range count {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// process is one process of the project.
type process struct {
	world    *world
	name     string
	role     string
	settings string
	// ip is its own loopback address.
	ip      string
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = log
	p.command = exec.Command(p.world.program, p.role, "-settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		err := command.Wait()
		p.world.note("%s ended: %v", p.name, err)
		close(done)
	}()
	p.world.note("%s started", p.name)
	return nil
}

func (p *process) isRunning() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if !p.isRunning() {
		return
	}
	p.world.note("%s gets %s", p.name, s)
	_ = p.command.Process.Signal(s)
}

func (p *process) kill() {
	if !p.isRunning() {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.done
}

const (
	zoneCount     = 2
	callerTimeout = 20 * time.Second
)

// ports are those that all processes use, each on an address of its own.
type ports struct {
	internal, peers, control, callers, ready, metrics int
}

// deploy starts the control and entry processes, with the settings that the templates of the deploy file give.
func (w *world) deploy(controls, entries int) error {
	list, err := freePorts("127.0.0.1", 6)
	if err != nil {
		return err
	}
	n := ports{list[0], list[1], list[2], list[3], list[4], list[5]}
	base := 40 + os.Getpid()%200
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d:%d", base, i+1, n.control))
	}
	for i := range controls {
		p := w.newProcess(fmt.Sprintf("control-%d", i+1), "control", fmt.Sprintf("127.%d.1.%d", base, i+1))
		data := filepath.Join(w.folder, p.name)
		w.controls = append(w.controls, p)
		err := writeJSON(p.settings, map[string]any{
			"instance":            p.name,
			"zone":                zoneOf(i),
			"listen":              fmt.Sprintf("%s:%d", p.ip, n.internal),
			"data-folder":         data,
			"election-timeout-ms": 350,
			"outcomes-limit-mb":   32,
			"formation": map[string]any{
				"seeds":            seeds,
				"first-start":      true,
				"tolerated-losses": 1,
			},
			"platform": map[string]any{
				"listen":         fmt.Sprintf("%s:%d", p.ip, n.control),
				"listen-metrics": fmt.Sprintf("%s:%d", p.ip, n.metrics),
			},
			"resources": map[string]any{
				"memory-mb":  280,
				"open-files": 4096,
			},
		})
		if err != nil {
			return err
		}
	}
	for i := range entries {
		p := w.newProcess(fmt.Sprintf("entry-%d", i+1), "entry", fmt.Sprintf("127.%d.2.%d", base, i+1))
		w.entries = append(w.entries, p)
		err := writeJSON(p.settings, map[string]any{
			"instance":         p.name,
			"zone":             zoneOf(i),
			"listen-callers":   fmt.Sprintf("%s:%d", p.ip, n.callers),
			"listen-readiness": fmt.Sprintf("%s:%d", p.ip, n.ready),
			"listen-metrics":   fmt.Sprintf("%s:%d", p.ip, n.metrics),
			"listen-peers":     fmt.Sprintf("%s:%d", p.ip, n.peers),
			"control-seeds":    seeds,
			"control-peers":    fmt.Sprintf("%s:%d", p.ip, n.internal),
			"repeat-ratio":     0.2,
			"repeat-burst":     54,
			"repeat-window-ms": 10000,
			"grace-ms":         6000,

			"zone-regions": map[string]string{"zone-a": "region", "zone-b": "region"},
			"first-start":  true,
			"resources": map[string]any{
				"memory-mb":  284,
				"open-files": 4100,
			},
		})
		if err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	// Only the first start of the whole system is one.
	time.Sleep(300 * time.Millisecond)
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		content, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.settings, bytes.ReplaceAll(content, []byte(`"first-start":true`), []byte(`"first-start":false`)), 0o600); err != nil {
			return err
		}
	}
	w.callerPort, w.readyPort, w.controlPort = n.callers, n.ready, n.control
	return nil
}

func (w *world) newProcess(name, role, ip string) *process {
	return &process{
		world:    w,
		name:     name,
		role:     role,
		ip:       ip,
		settings: filepath.Join(w.folder, name+".json"),
	}
}

func zoneOf(i int) string { return "zone-" + string(rune('a'+i%zoneCount)) }

func writeJSON(path string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}

func (w *world) callersOf(p *process) string { return fmt.Sprintf("%s:%d", p.ip, w.callerPort) }

// isReady asks an entry process as the platform does.
func (w *world) isReady(p *process) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, w.readyPort, names["readiness"]))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, p := range w.entries {
		for !w.isReady(p) {
			if time.Now().After(end) {
				return errors.New(p.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// callControl sends a call to one control process and returns the status, 0 without an answer.
func (w *world) callControl(p *process, method, path string, body []byte) (int, []byte) {
	client := &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, w.controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// tell sends a call to one control process after the other until one acknowledges it.
func (w *world) tell(method, path string, body []byte, limit time.Duration) error {
	end := time.Now().Add(limit)
	last := 0
	for i := 0; time.Now().Before(end); i++ {
		status, _ := w.callControl(w.controls[i%len(w.controls)], method, path, body)
		if status/100 == 2 {
			return nil
		}
		last = status
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: no acknowledgement, last status %d", method, path, last)
}

// publish sends a configuration until it is acknowledged.
func (w *world) publish(config map[string]any) error {
	content, err := json.Marshal(config)
	if err != nil {
		return err
	}
	err = w.tell(http.MethodPut, names["configuration"], content, 15*time.Second)
	w.note("configuration %v: %v", config["version"], err)
	return err
}

// host is the host of all routes.
const host = "shop.example"

// limits are those of a small site.
var limits = map[string]any{
	"header_bytes":      16384,
	"max_body_bytes":    262144,
	"header_timeout_ms": 3000,
	"idle_timeout_ms":   15000,
}

// route returns a route to one service.
func route(name, prefix, kind, service string, timeout, target int) map[string]any {
	return map[string]any{
		"name":              name,
		"host":              host,
		"path_prefix":       prefix,
		"kind":              kind,
		"timeout_ms":        timeout,
		"target_latency_ms": target,
		"priority":          1,
		"attempts":          2,
		"service":           service,
	}
}

// service returns a service.
func service(name string) map[string]any {
	return map[string]any{
		"name":            name,
		"health_path":     "/health",
		"max_connections": 49,
		"protocol":        "h1",
		"tls":             false,
	}
}
