package integration

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/Shopify/toxiproxy/v2"
	_ "github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/transport/responder"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	service      = "tenants"
	rowsPerShard = 20
	readyTimeout = 20 * time.Second
	runTimeout   = 2 * time.Second
	logTailBytes = 600
)

var binDir string

// Ports are allocated sequentially from a random offset, so that no two processes of a test run get the same one.
const (
	lowestPort = 15000
	portCount  = 15000
)

var (
	portOffset = rand.IntN(portCount)
	nextPort   atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pimentogate-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// topology describes the processes of a fleet.
type topology struct {
	controls int
	entries  int
	zones    int
	shards   int
	replicas int
	version  uint64
	workMs   float64
	// policy is the routing-policy setting of the entry instances; two-choices if empty.
	policy string
	// proxied connects the processes through fault-injecting proxies: one per dialing process and target, except that all entry instances share one per stand-in.
	proxied bool
}

// fleet holds the processes of one test.
type fleet struct {
	t        testing.TB
	topology topology
	dir      string
	manifest []checker.Shard
	controls []*process
	entries  []*process
	standins []*process
	proxies  map[string]*toxiproxy.Proxy
	api      *toxiproxy.ApiServer
	// joinedEntries is the number of entry instances added after the start.
	joinedEntries int
}

// process is a process under test and the addresses that it serves.
type process struct {
	t             testing.TB
	name          string
	zone          string
	program       string
	args          []string
	address       string
	callerAddress string
	logPath       string
	cmd           *exec.Cmd
	settings      any
}

// newFleet starts all processes and waits until every entry instance answers with full coverage.
func newFleet(t testing.TB, spec topology) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		topology: spec,
		dir:      t.TempDir(),
		proxies:  map[string]*toxiproxy.Proxy{},
		api:      toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
	}
	for i := range spec.shards {
		f.manifest = append(f.manifest, checker.Shard{
			Shard:  shardName(i),
			Weight: uint64(i + 1),
		})
	}
	f.assignAddresses()
	f.startControls()
	f.declareService()
	for _, e := range f.entries {
		e.start()
	}
	for _, s := range f.standins {
		s.start()
	}
	f.waitFullCoverage()
	return f
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

func (f *fleet) zone(i int) string { return fmt.Sprintf("zone-%d", i%f.topology.zones) }

// assignAddresses chooses all addresses and writes all settings before any process starts, because the settings of each process name the addresses of the others.
func (f *fleet) assignAddresses() {
	for i := range f.topology.controls {
		f.controls = append(f.controls, f.newProcess("control", i, "pimentogate"))
	}
	for i := range f.topology.entries {
		e := f.newProcess("entry", i, "pimentogate")
		e.callerAddress = freeAddress(f.t)
		f.entries = append(f.entries, e)
	}
	for i := range f.topology.shards * f.topology.replicas {
		f.standins = append(f.standins, f.newProcess("standin", i, "standin"))
	}
	for _, c := range f.controls {
		f.writeControlSettings(c)
	}
	for _, e := range f.entries {
		f.writeEntrySettings(e)
	}
	for i, s := range f.standins {
		f.writeStandinSettings(s, i)
	}
}

func (f *fleet) newProcess(kind string, i int, program string) *process {
	name := fmt.Sprintf("%s-%d", kind, i)
	p := &process{
		t:       f.t,
		name:    name,
		zone:    f.zone(i),
		program: filepath.Join(binDir, program),
		address: freeAddress(f.t),
		logPath: filepath.Join(f.dir, name+".log"),
	}
	if program == "pimentogate" {
		p.args = append(p.args, kind)
	}
	p.args = append(p.args, "-settings", filepath.Join(f.dir, name+".json"))
	f.t.Cleanup(p.cleanUp)
	return p
}

func (f *fleet) writeControlSettings(c *process) {
	settings := &checker.ControlSettings{
		Instance:          c.name,
		Zone:              c.zone,
		Listen:            c.address,
		DataFolder:        filepath.Join(f.dir, c.name),
		ElectionTimeoutMs: 300,
		LogLevel:          "info",
	}
	for _, other := range f.controls {
		settings.Members = append(settings.Members, checker.ControlMember{
			ID:      other.name,
			Address: f.dialAddress(c, other),
		})
	}
	f.writeSettings(c, settings)
}

func (f *fleet) writeEntrySettings(e *process) {
	settings := &checker.EntrySettings{
		Instance:        e.name,
		Zone:            e.zone,
		ListenCallers:   e.callerAddress,
		ListenPeers:     e.address,
		Peers:           []string{},
		ListedPeersOnly: f.topology.proxied,
		ShutdownGraceMs: 200,
		RoutingPolicy:   cmp.Or(f.topology.policy, "two-choices"),
		LogLevel:        "debug",
	}
	for _, c := range f.controls {
		settings.Control = append(settings.Control, f.dialAddress(e, c))
	}
	for _, other := range f.entries {
		if other != e {
			settings.Peers = append(settings.Peers, f.dialAddress(e, other))
		}
	}
	f.writeSettings(e, settings)
}

func (f *fleet) writeStandinSettings(s *process, i int) {
	settings := &checker.StandinSettings{
		Upstream:     s.name,
		Zone:         s.zone,
		Listen:       s.address,
		Service:      service,
		Version:      max(f.topology.version, 1),
		Manifest:     f.manifest,
		Shards:       []string{shardName(i % f.topology.shards)},
		Slots:        2,
		Connections:  25,
		RowsPerShard: rowsPerShard,
		WorkMs:       f.topology.workMs,
		LogLevel:     "info",
	}
	for _, e := range f.entries {
		settings.Entries = append(settings.Entries, f.dialAddress(s, e))
	}
	if f.topology.proxied {
		settings.Advertise = f.startProxy("entries", s)
	}
	f.writeSettings(s, settings)
}

func (f *fleet) writeSettings(p *process, settings any) {
	p.settings = settings
	encoded, err := json.MarshalIndent(settings, "", "  ")
	must(f.t, err)
	must(f.t, os.WriteFile(filepath.Join(f.dir, p.name+".json"), encoded, 0o600))
}

// dialAddress returns the address at which one process reaches another; with topology.proxied, this is a new proxy between the two.
func (f *fleet) dialAddress(from, to *process) string {
	if !f.topology.proxied || from == to {
		return to.address
	}
	return f.startProxy(from.name, to)
}

func (f *fleet) startProxy(from string, to *process) string {
	name := linkName(from, to.name)
	p := toxiproxy.NewProxy(f.api, name, "127.0.0.1:0", to.address)
	must(f.t, p.Start())
	f.proxies[name] = p
	f.t.Cleanup(p.Stop)
	return p.Listen
}

func linkName(from, to string) string { return from + ">" + to }

// cutLink silently drops traffic in both directions of the link that from dials to to.
func (f *fleet) cutLink(from, to string) {
	f.cutDirection(from, to, "upstream")
	f.cutDirection(from, to, "downstream")
}

// cutDirection silently drops one direction of a link: "upstream" is the traffic from from to to, "downstream" the reverse.
func (f *fleet) cutDirection(from, to, direction string) {
	p := f.proxies[linkName(from, to)]
	toxic := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, direction, direction)
	_, err := p.Toxics.AddToxicJson(bytes.NewBufferString(toxic))
	must(f.t, err)
}

// healLink removes all faults from a link.
func (f *fleet) healLink(from, to string) {
	f.proxies[linkName(from, to)].Toxics.ResetToxics(f.t.Context())
}

func (f *fleet) startControls() {
	for _, c := range f.controls {
		f.runCommand(0, "form", "-settings", filepath.Join(f.dir, c.name+".json"))
		c.start()
	}
}

// controlFlag returns the value of the -control flag: the addresses of all control instances, separated by commas.
func (f *fleet) controlFlag() string {
	joined := ""
	for _, c := range f.controls {
		joined += "," + c.address
	}
	return joined[1:]
}

// declareService declares the service under test through the command line.
func (f *fleet) declareService() {
	shards, err := json.Marshal(shardNames(f.topology.shards))
	must(f.t, err)
	f.applyIntent(fmt.Sprintf(`{
		// the service under test
		"declare-service": {"name": %q, "shards": %s, "coverage": 1, "timeout-ms": 1000},
	}`, service, shards))
}

func shardNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, shardName(i))
	}
	return names
}

// applyIntent plans and confirms an intent, and fails the test if either is refused.
func (f *fleet) applyIntent(intent string) {
	f.t.Helper()
	intentFile := filepath.Join(f.dir, "intent.json")
	planFile := filepath.Join(f.dir, "plan.json")
	must(f.t, os.WriteFile(intentFile, []byte(intent), 0o600))
	encodedPlan := f.runCommand(0, "plan", "-control", f.controlFlag(), intentFile)
	must(f.t, os.WriteFile(planFile, encodedPlan, 0o600))
	f.runCommand(0, "confirm", "-control", f.controlFlag(), planFile)
}

// runCommand runs a subcommand of pimentogate, requires the exit status, and returns the standard output.
func (f *fleet) runCommand(wantStatus int, args ...string) []byte {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "pimentogate"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	_ = cmd.Run()
	if status := cmd.ProcessState.ExitCode(); status != wantStatus {
		f.t.Fatalf("pimentogate %v: exit status %d, want %d\n%s%s", args, status, wantStatus, stdout.String(), stderr.String())
	}
	return stdout.Bytes()
}

// waitFullCoverage waits until every entry instance answers with full coverage.
func (f *fleet) waitFullCoverage() {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, readyTimeout, e.name+" has full coverage", func() bool {
			answer, status := e.query("ready", 500)
			return status == http.StatusOK && answer.Coverage == 1
		})
	}
}

func (p *process) start() {
	p.t.Helper()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(p.t, err)
	defer logFile.Close()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stderr = logFile
	must(p.t, p.cmd.Start())
}

// kill terminates the process with SIGKILL, which simulates a crash.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// cleanUp kills the process and, if the test has failed, prints the end of its log.
func (p *process) cleanUp() {
	p.kill()
	if !p.t.Failed() {
		return
	}
	content, _ := os.ReadFile(p.logPath)
	p.t.Logf("%s: …%s", p.name, content[max(0, len(content)-logTailBytes):])
}

// terminate shuts the process down with SIGTERM and returns its exit status.
func (p *process) terminate() int {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
	status := p.cmd.ProcessState.ExitCode()
	p.cmd = nil
	return status
}

// terminateAmongHangups sends SIGHUP every few milliseconds, from before SIGTERM until the process is gone, and returns its exit status.
func (p *process) terminateAmongHangups() int {
	const pause = 5 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	process := p.cmd.Process
	go func() {
		for ctx.Err() == nil {
			_ = process.Signal(syscall.SIGHUP)
			time.Sleep(pause)
		}
	}()
	time.Sleep(10 * pause)
	return p.terminate()
}

// freeze suspends the process with SIGSTOP.
func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// thaw resumes a frozen process with SIGCONT.
func (p *process) thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// query sends a query to the entry instance and returns the answer with its HTTP status, or status 0 if there was no valid answer.
func (p *process) query(text string, timeoutMs int) (parser.QueryAnswer, int) {
	var answer parser.QueryAnswer
	status := p.post("query", map[string]any{
		"query":      text,
		"limit":      10,
		"timeout-ms": timeoutMs,
	}, &answer)
	return answer, status
}

// run sends a non-idempotent request to the entry instance; results are as for query.
func (p *process) run(key string, keyTime time.Time) (parser.RunAnswer, int) {
	var answer parser.RunAnswer
	status := p.post("run", map[string]any{
		"key":        key,
		"key-time":   keyTime.UTC().Format(time.RFC3339),
		"body":       "body of " + key,
		"timeout-ms": runTimeout.Milliseconds(),
	}, &answer)
	return answer, status
}

func (p *process) post(action string, body, answer any) int {
	encoded, err := json.Marshal(body)
	must(p.t, err)
	url := fmt.Sprintf("http://%s/v1/services/%s/%s", p.callerAddress, service, action)
	response, err := http.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(content, answer) != nil {
		return 0
	}
	return response.StatusCode
}

// standinRecord returns the stand-in upstream's own record of what it received and started.
func (p *process) standinRecord() responder.Record {
	var record responder.Record
	response, err := http.Get("http://" + p.address + "/record")
	must(p.t, err)
	defer response.Body.Close()
	must(p.t, json.NewDecoder(response.Body).Decode(&record))
	return record
}

// countStarts returns how many times a run with the key was started, summed over all running stand-ins.
func (f *fleet) countStarts(key string) int {
	starts := 0
	for _, s := range f.standins {
		if s.cmd == nil {
			continue
		}
		for _, run := range s.standinRecord().Runs {
			if run.Key == key {
				starts++
			}
		}
	}
	return starts
}

func waitFor(t testing.TB, timeout time.Duration, condition string, isMet func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !isMet() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not met within %s", condition, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// freeAddress returns a loopback address whose port was free when checked. The ports lie below the kernel's ephemeral range, so outgoing connections do not take them.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+(portOffset+int(nextPort.Add(1)))%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			defer listener.Close()
			return address
		}
	}
	t.Fatal("no free port found")
	return ""
}

// waitLeader waits until a control instance reports itself as the leader, and returns it.
func (f *fleet) waitLeader() *process {
	f.t.Helper()
	var found *process
	waitFor(f.t, readyTimeout, "a control instance reports itself as the leader", func() bool {
		for _, c := range f.controls {
			status := c.status()
			if status.GetInstance() != "" && status.GetLeader() == status.GetInstance() {
				found = c
				return true
			}
		}
		return false
	})
	return found
}

// status returns the status of a control instance, or an empty status if it does not answer.
func (p *process) status() *wire.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := wireconnect.NewControlServiceClient(http.DefaultClient, "http://"+p.address)
	response, err := client.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return &wire.StatusResponse{}
	}
	return response.Msg
}
