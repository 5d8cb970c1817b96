//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout limits how long the deployment may take until it serves.
const startTimeout = 20 * time.Second

// deployment runs the control and entry instances of a small deployment as processes of their own, one of each in
// each of three availability zones, and takes the part of the platform and of the operator.
type deployment struct {
	program  string
	folder   string
	settings map[string]map[string]any
	commands map[string]*exec.Cmd
	logs     map[string]*os.File

	entryPort, readyPort, controlPort, peerPort string
	count                                       int
	client                                      *http.Client
	record                                      *recorder
	mutex                                       sync.Mutex
	loser                                       *loser
}

func controlHost(i int) string { return fmt.Sprintf("127.0.81.%d", i+1) }

func entryHost(i int) string { return fmt.Sprintf("127.0.82.%d", i+1) }

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

func freePort() string {
	socket, err := net.Listen("tcp", "127.0.81.1:0")
	if err != nil {
		panic(err)
	}
	defer socket.Close()
	_, port, _ := net.SplitHostPort(socket.Addr().String())
	return port
}

func newDeployment(program string, record *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		program:     program,
		folder:      folder,
		settings:    map[string]map[string]any{},
		commands:    map[string]*exec.Cmd{},
		logs:        map[string]*os.File{},
		entryPort:   freePort(),
		readyPort:   freePort(),
		controlPort: freePort(),
		peerPort:    freePort(),
		count:       3,
		loser:       &loser{row: map[string]bool{}},
		client:      &http.Client{Timeout: 3 * time.Second},
		record:      record,
	}
	var seeds []string
	zones := map[string]string{}
	for i := range d.count {
		seeds = append(seeds, net.JoinHostPort(controlHost(i), d.controlPort))
		zones[zoneOf(i)] = "region"
	}
	// The settings are those of deploy/control.json and deploy/entry.json, with the bounds of the smallest sites.
	for i := range d.count {
		d.settings[fmt.Sprintf("control-%d", i)] = map[string]any{
			"instance": fmt.Sprintf("control-%d", i), "zone": zoneOf(i),
			"listen":              net.JoinHostPort(controlHost(i), d.peerPort),
			"data-folder":         filepath.Join(folder, fmt.Sprintf("data-%d", i)),
			"election-timeout-ms": 350, "outcomes-limit-mb": 32,
			"formation": map[string]any{"seeds": seeds, "first-start": true, "tolerated-losses": 1},
			"platform": map[string]any{
				"listen":         net.JoinHostPort(controlHost(i), d.controlPort),
				"listen-metrics": net.JoinHostPort(controlHost(i), "0"),
			},
		}
		d.settings[fmt.Sprintf("entry-%d", i)] = map[string]any{
			"instance": fmt.Sprintf("entry-%d", i), "zone": zoneOf(i),
			"listen-callers":   net.JoinHostPort(entryHost(i), d.entryPort),
			"listen-readiness": net.JoinHostPort(entryHost(i), d.readyPort),
			"listen-metrics":   net.JoinHostPort(entryHost(i), "0"),
			"listen-peers":     net.JoinHostPort(entryHost(i), d.peerPort),
			"control-seeds":    seeds, "control-peers": net.JoinHostPort(entryHost(i), d.peerPort),
			"repeat-ratio": 0.2, "repeat-burst": 54, "repeat-window-ms": 10000, "grace-ms": 6000,
			"zone-regions": zones, "first-start": true,
		}
	}
	return d, nil
}

// start starts one process, or starts it again.
func (d *deployment) start(name string, isFirst bool) error {
	settings := d.settings[name]
	if formation, ok := settings["formation"].(map[string]any); ok {
		formation["first-start"] = isFirst
	} else {
		settings["first-start"] = isFirst
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, name+".json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	role, _, _ := strings.Cut(name, "-")
	command := exec.Command(d.program, role, "-settings", path)
	if d.logs[name] == nil {
		if d.logs[name], err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
			return err
		}
	}
	command.Stdout, command.Stderr = d.logs[name], d.logs[name]
	// The process ends with this one in any case.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.mutex.Lock()
	d.commands[name] = command
	d.mutex.Unlock()
	d.record.note("platform: process %s started", name)
	return nil
}

func (d *deployment) startAll() error {
	for name := range d.settings {
		if err := d.start(name, true); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) signal(name string, signal syscall.Signal) {
	d.record.note("platform: %s to %s", signal, name)
	_ = d.commands[name].Process.Signal(signal)
}

// kill ends a process at once and waits for its end.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	_ = d.commands[name].Wait()
}

func (d *deployment) close() {
	for _, command := range d.commands {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	for _, log := range d.logs {
		_ = log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
}

// call sends one call to a control instance and returns the status, or 0 without an answer.
func (d *deployment) call(method string, control int, path string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+net.JoinHostPort(controlHost(control), d.controlPort)+path, strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// publish sends a configuration to one control instance after the other until it is acknowledged.
func (d *deployment) publish(configuration map[string]any) bool {
	content, _ := json.Marshal(configuration)
	for deadline, i := time.Now().Add(startTimeout), 0; time.Now().Before(deadline); i++ {
		status := d.call(http.MethodPut, i%d.count, names["configuration-path"], content)
		if status == http.StatusOK {
			d.record.note("operator: configuration %v acknowledged by control-%d", configuration["version"], i%d.count)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all entry instances report that they are ready.
func (d *deployment) awaitReady() bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range d.count {
			response, err := d.client.Get("http://" + net.JoinHostPort(entryHost(i), d.readyPort) + names["readiness-path"])
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == d.count {
			return true
		}
	}
	return false
}
