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
	readyLimit   = 20 * time.Second
	runTimeout   = 2 * time.Second
	shownLog     = 600
)

var binaries string

// Ports are given out in turn, so that no test process gets one twice.
const (
	lowestPort = 15000
	portCount  = 15000
)

var (
	firstPort = rand.IntN(portCount)
	nextPort  atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "pimentogate-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binaries = folder
	build := exec.Command("go", "build", "-o", folder, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// plan is what a fleet consists of.
type plan struct {
	controls int
	entries  int
	zones    int
	shards   int
	replicas int
	version  uint64
	workMs   float64
	// policy is the entry instances' routing-policy.
	policy string
	// links puts a proxy between every pair of processes that speak.
	links bool
}

// fleet is the running processes of one test.
type fleet struct {
	t        testing.TB
	plan     plan
	folder   string
	manifest []checker.Shard
	controls []*process
	entries  []*process
	standins []*process
	proxies  map[string]*toxiproxy.Proxy
	api      *toxiproxy.ApiServer
	// joined is how many entry instances were added later.
	joined int
}

// process is one process with the addresses it serves.
type process struct {
	t        testing.TB
	name     string
	zone     string
	program  string
	args     []string
	address  string
	callers  string
	log      string
	command  *exec.Cmd
	settings any
}

// newFleet starts every process and waits until each entry instance answers whole.
func newFleet(t testing.TB, p plan) *fleet {
	t.Helper()
	f := &fleet{
		t:       t,
		plan:    p,
		folder:  t.TempDir(),
		proxies: map[string]*toxiproxy.Proxy{},
		api:     toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
	}
	for i := range p.shards {
		f.manifest = append(f.manifest, checker.Shard{
			Shard:  shardName(i),
			Weight: uint64(i + 1),
		})
	}
	f.placeAll()
	f.startControls()
	f.declare()
	for _, e := range f.entries {
		e.start()
	}
	for _, s := range f.standins {
		s.start()
	}
	f.waitWhole()
	return f
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

func (f *fleet) zone(i int) string { return fmt.Sprintf("zone-%d", i%f.plan.zones) }

// placeAll chooses every address before anything starts, so that each knows the others.
func (f *fleet) placeAll() {
	for i := range f.plan.controls {
		f.controls = append(f.controls, f.place("control", i, "pimentogate"))
	}
	for i := range f.plan.entries {
		e := f.place("entry", i, "pimentogate")
		e.callers = freeAddress(f.t)
		f.entries = append(f.entries, e)
	}
	for i := range f.plan.shards * f.plan.replicas {
		f.standins = append(f.standins, f.place("standin", i, "standin"))
	}
	for _, c := range f.controls {
		f.settleControl(c)
	}
	for _, e := range f.entries {
		f.settleEntry(e)
	}
	for i, s := range f.standins {
		f.settleStandin(s, i)
	}
}

func (f *fleet) place(kind string, i int, program string) *process {
	name := fmt.Sprintf("%s-%d", kind, i)
	p := &process{
		t:       f.t,
		name:    name,
		zone:    f.zone(i),
		program: filepath.Join(binaries, program),
		address: freeAddress(f.t),
		log:     filepath.Join(f.folder, name+".log"),
	}
	if program == "pimentogate" {
		p.args = append(p.args, kind)
	}
	p.args = append(p.args, "-settings", filepath.Join(f.folder, name+".json"))
	f.t.Cleanup(p.end)
	return p
}

func (f *fleet) settleControl(c *process) {
	settings := &checker.ControlSettings{
		Instance:          c.name,
		Zone:              c.zone,
		Listen:            c.address,
		DataFolder:        filepath.Join(f.folder, c.name),
		ElectionTimeoutMs: 300,
		LogLevel:          "info",
	}
	for _, other := range f.controls {
		settings.Members = append(settings.Members, checker.ControlMember{
			ID:      other.name,
			Address: f.via(c, other),
		})
	}
	f.write(c, settings)
}

func (f *fleet) settleEntry(e *process) {
	settings := &checker.EntrySettings{
		Instance:        e.name,
		Zone:            e.zone,
		ListenCallers:   e.callers,
		ListenPeers:     e.address,
		Peers:           []string{},
		ListedPeersOnly: f.plan.links,
		ShutdownGraceMs: 200,
		RoutingPolicy:   cmp.Or(f.plan.policy, "two-choices"),
		LogLevel:        "debug",
	}
	for _, c := range f.controls {
		settings.Control = append(settings.Control, f.via(e, c))
	}
	for _, other := range f.entries {
		if other != e {
			settings.Peers = append(settings.Peers, f.via(e, other))
		}
	}
	f.write(e, settings)
}

func (f *fleet) settleStandin(s *process, i int) {
	settings := &checker.StandinSettings{
		Upstream:     s.name,
		Zone:         s.zone,
		Listen:       s.address,
		Service:      service,
		Version:      max(f.plan.version, 1),
		Manifest:     f.manifest,
		Shards:       []string{shardName(i % f.plan.shards)},
		Slots:        2,
		Connections:  25,
		RowsPerShard: rowsPerShard,
		WorkMs:       f.plan.workMs,
		LogLevel:     "info",
	}
	for _, e := range f.entries {
		settings.Entries = append(settings.Entries, f.via(s, e))
	}
	if f.plan.links {
		settings.Advertise = f.proxy("entries", s)
	}
	f.write(s, settings)
}

func (f *fleet) write(p *process, settings any) {
	p.settings = settings
	encoded, err := json.MarshalIndent(settings, "", "  ")
	check(f.t, err)
	check(f.t, os.WriteFile(filepath.Join(f.folder, p.name+".json"), encoded, 0o600))
}

// via returns where one process reaches another: through their proxy, where the plan has links.
func (f *fleet) via(from, to *process) string {
	if !f.plan.links || from == to {
		return to.address
	}
	return f.proxy(from.name, to)
}

func (f *fleet) proxy(from string, to *process) string {
	name := linkName(from, to.name)
	p := toxiproxy.NewProxy(f.api, name, "127.0.0.1:0", to.address)
	check(f.t, p.Start())
	f.proxies[name] = p
	f.t.Cleanup(p.Stop)
	return p.Listen
}

func linkName(from, to string) string { return from + ">" + to }

// cut silently loses what from sends to to, and what comes back.
func (f *fleet) cut(from, to string) {
	f.cutWay(from, to, "upstream")
	f.cutWay(from, to, "downstream")
}

// cutWay silently loses one direction of a link: upstream is what from sends.
func (f *fleet) cutWay(from, to, way string) {
	p := f.proxies[linkName(from, to)]
	toxic := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, way, way)
	_, err := p.Toxics.AddToxicJson(bytes.NewBufferString(toxic))
	check(f.t, err)
}

// heal ends every fault of a link.
func (f *fleet) heal(from, to string) {
	f.proxies[linkName(from, to)].Toxics.ResetToxics(f.t.Context())
}

func (f *fleet) startControls() {
	for _, c := range f.controls {
		f.operate(0, "form", "-settings", filepath.Join(f.folder, c.name+".json"))
		c.start()
	}
}

func (f *fleet) controlAddresses() string {
	list := ""
	for _, c := range f.controls {
		list += "," + c.address
	}
	return list[1:]
}

// declare plans and confirms the test's service through the command line.
func (f *fleet) declare() {
	shards, err := json.Marshal(shardNames(f.plan.shards))
	check(f.t, err)
	f.change(fmt.Sprintf(`{
		// what the tests ask
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

// change plans and confirms an intent, and fails the test where it is refused.
func (f *fleet) change(intent string) {
	f.t.Helper()
	intentFile := filepath.Join(f.folder, "intent.json")
	planFile := filepath.Join(f.folder, "plan.json")
	check(f.t, os.WriteFile(intentFile, []byte(intent), 0o600))
	planned := f.operate(0, "plan", "-control", f.controlAddresses(), intentFile)
	check(f.t, os.WriteFile(planFile, planned, 0o600))
	f.operate(0, "confirm", "-control", f.controlAddresses(), planFile)
}

// operate runs one verb of the command line and returns what it printed on standard output.
func (f *fleet) operate(wantStatus int, args ...string) []byte {
	f.t.Helper()
	command := exec.Command(filepath.Join(binaries, "pimentogate"), args...)
	var out, errOut bytes.Buffer
	command.Stdout = &out
	command.Stderr = &errOut
	_ = command.Run()
	if status := command.ProcessState.ExitCode(); status != wantStatus {
		f.t.Fatalf("pimentogate %v: exit status %d, want %d\n%s%s", args, status, wantStatus, out.String(), errOut.String())
	}
	return out.Bytes()
}

// waitWhole waits until every entry instance answers with everything.
func (f *fleet) waitWhole() {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, readyLimit, e.name+" answers whole", func() bool {
			answer, status := e.query("ready", 500)
			return status == http.StatusOK && answer.Coverage == 1
		})
	}
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(p.t, err)
	defer log.Close()
	p.command = exec.Command(p.program, p.args...)
	p.command.Stderr = log
	check(p.t, p.command.Start())
}

// kill ends the process at once, as a crash would.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
}

// end kills the process, and shows the end of its log where the test has failed.
func (p *process) end() {
	p.kill()
	if !p.t.Failed() {
		return
	}
	content, _ := os.ReadFile(p.log)
	p.t.Logf("%s: …%s", p.name, content[max(0, len(content)-shownLog):])
}

// terminate asks the process to shut down, and returns its exit status.
func (p *process) terminate() int {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	_ = p.command.Wait()
	status := p.command.ProcessState.ExitCode()
	p.command = nil
	return status
}

func (p *process) freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

func (p *process) thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// query asks the entry instance, and returns the answer with its HTTP status; 0 where there was none.
func (p *process) query(text string, timeoutMs int) (parser.QueryAnswer, int) {
	var answer parser.QueryAnswer
	status := p.post("query", map[string]any{
		"query":      text,
		"limit":      10,
		"timeout-ms": timeoutMs,
	}, &answer)
	return answer, status
}

// run sends a non-idempotent request to the entry instance.
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
	check(p.t, err)
	url := fmt.Sprintf("http://%s/v1/services/%s/%s", p.callers, service, action)
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

// started returns what the stand-in says that it started.
func (p *process) started() responder.Record {
	var record responder.Record
	response, err := http.Get("http://" + p.address + "/record")
	check(p.t, err)
	defer response.Body.Close()
	check(p.t, json.NewDecoder(response.Body).Decode(&record))
	return record
}

// runsOf returns how many times a key was started on all stand-ins that are up.
func (f *fleet) runsOf(key string) int {
	count := 0
	for _, s := range f.standins {
		if s.command == nil {
			continue
		}
		for _, run := range s.started().Runs {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}

func waitFor(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// freeAddress returns a loopback address whose port was free a moment ago, from below the ports that the kernel gives to outgoing connections.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+(firstPort+int(nextPort.Add(1)))%portCount)
		socket, err := net.Listen("tcp", address)
		if err == nil {
			defer socket.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// leader waits until a control instance says that it leads, and returns it.
func (f *fleet) leader() *process {
	f.t.Helper()
	var found *process
	waitFor(f.t, readyLimit, "a control instance leads", func() bool {
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

// status asks one control instance where it stands; empty where it does not answer.
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
