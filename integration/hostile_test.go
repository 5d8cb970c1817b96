package integration

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// entryMemory and controlMemory are the memory of the smallest machines, in bytes.
	entryMemory   = 160 << 20
	controlMemory = 256 << 20
	hostileTime   = 2 * time.Second
)

// TestHostileClientsOfOwnInterface guards against clients that end an instance, or shut out all others, by what they make it hold at the product's own interface.
func TestHostileClientsOfOwnInterface(t *testing.T) {
	lines := &strings.Builder{}
	for i := range 15_000 {
		fmt.Fprintf(lines, "x%d:\r\n", i)
	}
	body := bytes.Repeat([]byte("b"), 4<<20)
	head := func(path string, length int) []byte {
		return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n", path, length)
	}
	query := "/v1/services/" + service + "/query"
	claim := "/pimentogate.v1.ControlService/Claim"
	announce := "/pimentogate.v1.AnnouncementService/Announce"
	cases := []struct {
		name    string
		target  func(f *fleet) (p *process, address string)
		clients int
		act     func(ctx context.Context, address string)
	}{
		{"heads of callers", callersOf, 400, sendTo(append([]byte("POST / HTTP/1.1\r\nHost: a\r\n"), lines.String()...))},
		{"bodies of callers", callersOf, 400, sendTo(append(head(query, 60_000), body[:59_999]...))},
		{"streams of callers", callersOf, 10, openStreams(query, 100)},
		{"heads of peers", peersOf, 400, sendTo(append([]byte("POST / HTTP/1.1\r\nHost: a\r\n"), lines.String()...))},
		{"bodies of peers", peersOf, 100, sendTo(append(head(announce, len(body)), body[1:]...))},
		{"bodies at control", controlOf, 100, sendTo(append(head(claim, len(body)), body[1:]...))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, topology{
				controls: 1,
				entries:  1,
				zones:    1,
				shards:   2,
				replicas: 1,
			})
			target, address := c.target(f)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var running sync.WaitGroup
			for range c.clients {
				running.Go(func() {
					for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
						c.act(ctx, address)
					}
				})
			}
			time.Sleep(hostileTime)
			waitFor(t, readyTimeout, "a query is answered beside the crowd", func() bool { return f.isAnswered() })
			cancel()
			running.Wait()
			waitFor(t, readyTimeout, "a query is answered after the crowd", func() bool { return f.isAnswered() })
			limit := int64(entryMemory)
			if target == f.controls[0] {
				limit = controlMemory
			}
			peak := target.peakMemory()
			t.Logf("%s: %d MB at its peak", target.name, peak>>20)
			if peak > limit {
				t.Errorf("%s had %d MB, its machine has %d", target.name, peak>>20, limit>>20)
			}
		})
	}
}

func callersOf(f *fleet) (*process, string) { return f.entries[0], f.entries[0].callerAddress }

func peersOf(f *fleet) (*process, string) { return f.entries[0], f.entries[0].address }

func controlOf(f *fleet) (*process, string) { return f.controls[0], f.controls[0].address }

// isAnswered reports whether the entry instance answers a query of a client of its own.
func (f *fleet) isAnswered() bool {
	_, status := f.entries[0].query("q", 1000)
	return status == http.StatusOK
}

// sendTo returns what a client does that sends the content and keeps the connection open.
func sendTo(content []byte) func(ctx context.Context, address string) {
	return func(ctx context.Context, address string) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return
		}
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		defer conn.Close()
		if _, err := conn.Write(content); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// openStreams returns what a client does that sends requests over one connection with HTTP/2, whose bodies do not end.
func openStreams(path string, streams int) func(ctx context.Context, address string) {
	return func(ctx context.Context, address string) {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{
			Protocols: protocols,
		}
		defer transport.CloseIdleConnections()
		var running sync.WaitGroup
		for range streams {
			running.Go(func() {
				body, writer := io.Pipe()
				go func() {
					_, _ = writer.Write(bytes.Repeat([]byte("b"), 60_000))
					<-ctx.Done()
					_ = writer.Close()
				}()
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
				for i := range 1500 {
					request.Header.Set("x"+strconv.Itoa(i), "v")
				}
				if response, err := transport.RoundTrip(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
		running.Wait()
	}
}

// peakMemory returns the most memory that the process has had, in bytes; it must still run.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	must(p.t, err)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			must(p.t, err)
			return kilobytes << 10
		}
	}
	p.t.Fatalf("%s has ended", p.name)
	return 0
}
