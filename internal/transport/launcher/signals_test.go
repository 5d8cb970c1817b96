package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/forwarder"
)

const (
	// argumentsVariable makes the test binary run an instance with these arguments instead of the tests.
	argumentsVariable = "LAUNCHER_TEST_ARGUMENTS"
	// hangupVariable makes the instance send itself SIGHUP while it starts.
	hangupVariable = "LAUNCHER_TEST_HANGUP"
	slowAnswerTime = 800 * time.Millisecond
	startTimeout   = 10 * time.Second
)

func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Exit(New(os.Stdout, os.Stderr, newSlowPlatform()).Run(strings.Fields(arguments)))
	}
	os.Exit(m.Run())
}

// newSlowPlatform returns a platform whose callers and operators are answered after slowAnswerTime.
func newSlowPlatform() Platform {
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(slowAnswerTime)
		w.WriteHeader(http.StatusOK)
	})
	raise := func() {
		if os.Getenv(hangupVariable) != "" {
			_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
		}
	}
	return Platform{
		Forwarding: forwarder.Protocol{
			CallerHandler: func(*forwarder.Forwarder) http.Handler {
				raise()
				return slow
			},
			ReadinessHandler: func(*forwarder.Forwarder) http.Handler { return slow },
		},
		Control: func(*controller.Controller, logr.Logger) http.Handler {
			raise()
			return slow
		},
	}
}

// hostCount counts the loopback addresses of all instances.
var hostCount atomic.Int64

// freeAddresses returns addresses on a loopback host that nothing else uses, so that no other test gets their ports.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	host := fmt.Sprintf("127.86.0.%d", hostCount.Add(1))
	var addresses []string
	for range count {
		socket, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		addresses = append(addresses, socket.Addr().String())
	}
	return addresses
}

// child is an instance that runs as a process of its own.
type child struct {
	cmd     *exec.Cmd
	output  *os.File
	address string
	// path is that of the settings file.
	path string
}

// startChild starts an instance of the role, which receives SIGHUP while it starts if raise is not empty.
func startChild(t *testing.T, role, raise string, graceMs int) *child {
	t.Helper()
	folder := t.TempDir()
	addresses := freeAddresses(t, 3)
	c := &child{
		address: addresses[0],
	}
	settings := fmt.Sprintf(`{"instance": "e", "zone": "a", "listen-callers": %q, "listen-readiness": %q, "listen-metrics": %q, "control-seeds": ["127.0.0.1:1"], "control-peers": "127.0.0.1:1", "drain-ms": 300, "grace-ms": %d}`, c.address, addresses[1], addresses[2], graceMs)
	if role == "control" {
		listen := addresses[1]
		settings = fmt.Sprintf(`{"instance": "c", "zone": "a", "listen": %q, "data-folder": %q, "formation": {"seeds": [%q], "first-start": true}, "platform": {"listen": %q, "listen-metrics": %q}}`, listen, folder, listen, c.address, addresses[2])
	}
	c.path = filepath.Join(folder, role+".json")
	if err := os.WriteFile(c.path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	c.output = reader
	c.cmd = exec.Command(os.Args[0])
	c.cmd.Env = append(os.Environ(), argumentsVariable+"="+role+" -settings "+c.path, hangupVariable+"="+raise)
	c.cmd.Stdout, c.cmd.Stderr = writer, writer
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.cmd.Process.Kill()
		_ = reader.Close()
	})
	return c
}

// waitListening reports whether the instance accepts connections before it ends or startTimeout has passed.
func (c *child) waitListening() bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", c.address)
		if err == nil {
			_ = conn.Close()
			return true
		}
	}
	return false
}

// get sends a request and returns its status, 0 if the connection was closed without an answer.
func (c *child) get(statuses chan<- int) {
	client := &http.Client{
		Transport: &http.Transport{},
	}
	response, err := client.Get("http://" + c.address + "/")
	if err != nil {
		statuses <- 0
		return
	}
	_ = response.Body.Close()
	statuses <- response.StatusCode
}

// sendUntil sends the signals in turn, with short pauses, until ctx is done.
func (c *child) sendUntil(ctx context.Context, signals []os.Signal) {
	for i := 0; len(signals) > 0 && ctx.Err() == nil; i++ {
		_ = c.cmd.Process.Signal(signals[i%len(signals)])
		time.Sleep(5 * time.Millisecond)
	}
}

// TestSignals guards against a signal that ends an instance at once, with its requests in flight, because it is handled only between the start and the stop.
func TestSignals(t *testing.T) {
	cases := []struct {
		name string
		// raise is not empty if the instance receives SIGHUP while it starts.
		raise string
		// before are sent while a request is in flight, during from SIGTERM until the instance is gone.
		before, during []os.Signal
		// closesLog is set if nobody reads the log any more.
		closesLog bool
	}{
		{"hangup during the start", "1", nil, nil, false},
		{"hangups before the stop", "", []os.Signal{syscall.SIGHUP}, nil, false},
		{"hangups during the stop", "", nil, []os.Signal{syscall.SIGHUP}, false},
		{"terminated again during the stop", "", nil, []os.Signal{syscall.SIGTERM, syscall.SIGINT}, false},
		{"all of them", "1", []os.Signal{syscall.SIGHUP}, []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}, false},
		{"log no longer read", "", []os.Signal{syscall.SIGHUP}, nil, true},
	}
	for _, role := range []string{"entry", "control"} {
		for _, test := range cases {
			t.Run(role+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				c := startChild(t, role, test.raise, 6000)
				if !c.waitListening() {
					log, _ := io.ReadAll(c.output)
					t.Fatalf("not started: %s", log)
				}
				if test.closesLog {
					_ = c.output.Close()
				}
				statuses := make(chan int, 1)
				go c.get(statuses)
				ctx, cancel := context.WithTimeout(context.Background(), slowAnswerTime/2)
				defer cancel()
				c.sendUntil(ctx, test.before)
				<-ctx.Done()
				_ = c.cmd.Process.Signal(syscall.SIGTERM)
				stopped, stop := context.WithCancel(context.Background())
				go c.sendUntil(stopped, test.during)
				status := <-statuses
				err := c.cmd.Wait()
				stop()
				if status != http.StatusOK || err != nil {
					t.Errorf("status %d, the process ended with %v; want status 200 and success", status, err)
				}
			})
		}
	}
}

// TestStopUsesReloadedGracePeriod guards against requests that are cut when an instance stops within the grace period of its first settings, though that has become longer.
func TestStopUsesReloadedGracePeriod(t *testing.T) {
	c := startChild(t, "entry", "", 500)
	if !c.waitListening() {
		t.Fatal("not started")
	}
	settings, err := os.ReadFile(c.path)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(settings), `"grace-ms": 500`, `"grace-ms": 6000`, 1)
	if err := os.WriteFile(c.path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = c.cmd.Process.Signal(syscall.SIGHUP)
	statuses := make(chan int, 1)
	go c.get(statuses)
	time.Sleep(slowAnswerTime / 4)
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}
