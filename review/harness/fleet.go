//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is one process of the system on a loopback address of its own.
type machine struct {
	name, role, zone, ip string
	fields               map[string]any
	settings, template   string
	folder               string
	cmd                  *exec.Cmd
	exited               chan struct{}
	logFile              *os.File
	// disturbedAt is when the script last disturbed the process.
	disturbedAt time.Time
	// startedAt is when the process was started last.
	startedAt time.Time
}

// fleet is the system under test.
type fleet struct {
	root, folder string
	controls     []*machine
	entries      []*machine
	frontPort    int
	readyPort    int
	controlPort  int
}

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

func newFleet(root string, controls, entries int) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	f := &fleet{root: root, folder: folder}
	second, third := 16+rand.IntN(200), rand.IntN(250)
	ports := freePorts(fmt.Sprintf("127.%d.%d.11", second, third), 6)
	f.frontPort, f.readyPort, f.controlPort = ports[0], ports[1], ports[2]
	zoneRegions := map[string]any{}
	for _, zone := range zones {
		zoneRegions[zone] = "region"
	}
	var seeds []any
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.%d:%d", second, third, 11+i, f.controlPort))
	}
	add := func(role string, i, host int) *machine {
		m := &machine{
			name: fmt.Sprintf("%s-%d", role, i+1),
			role: role,
			zone: zones[i%len(zones)],
			ip:   fmt.Sprintf("127.%d.%d.%d", second, third, host),
		}
		m.fields = map[string]any{
			"node": m.name, "zone": m.zone, "ip": m.ip,
			"internal_port_range": []any{ports[3], ports[4]},
			"seeds":               seeds, "bootstrap": true, "zones": zoneRegions,
			"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"retry_budget_ratio": 0.2, "retry_budget_burst": 58, "retry_window_s": 10, "grace_s": 6,
			},
			"listen": map[string]any{
				"front":   fmt.Sprintf("%s:%d", m.ip, f.frontPort),
				"ready":   fmt.Sprintf("%s:%d", m.ip, f.readyPort),
				"control": fmt.Sprintf("%s:%d", m.ip, f.controlPort),
			},
			"data_directory": nil,
		}
		m.folder = filepath.Join(folder, m.name)
		check(os.MkdirAll(m.folder, 0o755))
		m.settings = filepath.Join(m.folder, "settings")
		m.template = filepath.Join(root, "deploy", map[string]string{"entry": "entry.json", "control": "control.json"}[role])
		if role == "control" {
			m.fields["data_directory"] = filepath.Join(m.folder, "data")
			check(os.MkdirAll(filepath.Join(m.folder, "data"), 0o755))
		}
		return m
	}
	for i := range controls {
		f.controls = append(f.controls, add("control", i, 11+i))
	}
	for i := range entries {
		f.entries = append(f.entries, add("entry", i, 31+i))
	}
	return f
}

func freePorts(ip string, count int) []int {
	var ports []int
	var open []net.Listener
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.controls...), f.entries...) }

func (f *fleet) frontOf(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.frontPort) }

func (f *fleet) controlOf(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.controlPort) }

// start starts the process with the command of the deploy file.
func (m *machine) start(root string) {
	template, err := os.ReadFile(m.template)
	check(err)
	check(os.WriteFile(m.settings, []byte(fill(string(template), m.fields)), 0o600))
	m.cmd = exec.Command(filepath.Join(root, "target", "pimentogate-machine"), m.role, "-settings", m.settings)
	m.cmd.Dir = root
	m.logFile, err = os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.cmd.Stdout, m.cmd.Stderr = m.logFile, m.logFile
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(m.cmd.Start())
	m.startedAt = time.Now()
	m.disturbedAt = time.Now()
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.disturbedAt = time.Now()
	_ = m.cmd.Process.Signal(s)
}

// hasExited reports whether the process has ended.
func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// restart starts a killed process again, which is no first start.
func (m *machine) restart(root string) {
	<-m.exited
	m.fields["bootstrap"] = false
	m.start(root)
}

func (f *fleet) close() {
	for _, m := range f.all() {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// fill fills in a template as the page on the deploy file says, as far as this project's templates need it.
func fill(text string, fields map[string]any) string {
	for {
		start := strings.Index(text, "{{#")
		if start < 0 {
			break
		}
		nameEnd := start + strings.Index(text[start:], "}}")
		name := text[start+3 : nameEnd]
		end := strings.Index(text, "{{/"+name+"}}")
		inner := text[nameEnd+2 : end]
		if lookup(fields, name) == nil {
			inner = ""
		}
		text = text[:start] + inner + text[end+len(name)+5:]
	}
	var out strings.Builder
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			return out.String() + text
		}
		out.WriteString(text[:start])
		end := start + strings.Index(text[start:], "}}")
		name, asJSON := strings.CutSuffix(text[start+2:end], "|json")
		value := lookup(fields, name)
		content, err := json.Marshal(value)
		check(err)
		if plain, ok := value.(string); ok && !asJSON {
			content = []byte(plain)
		}
		out.Write(content)
		text = text[end+2:]
	}
}

func lookup(fields map[string]any, name string) any {
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			value = v[int(part[0]-'0')]
		default:
			return nil
		}
	}
	return value
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}
