package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	testTimeout           = 10 * time.Second
	testElectionTimeoutMs = 200
)

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer socket.Close()
	return socket.Addr().String()
}

// newControls starts control instances whose journals already hold the membership.
func newControls(t testing.TB, count int) []*Controller {
	t.Helper()
	folder := t.TempDir()
	var listed []checker.ControlMember
	var wireMembers []*wire.ControlMember
	for i := range count {
		listed = append(listed, checker.ControlMember{
			ID:      fmt.Sprintf("control-%d", i),
			Address: freeAddress(t),
		})
		wireMembers = append(wireMembers, &wire.ControlMember{
			Id:      listed[i].ID,
			Address: listed[i].Address,
		})
	}
	var controls []*Controller
	for _, own := range listed {
		settings := &checker.ControlSettings{
			Instance:          own.ID,
			Zone:              "zone-a",
			Listen:            own.Address,
			DataFolder:        filepath.Join(folder, own.ID),
			Members:           listed,
			ElectionTimeoutMs: testElectionTimeoutMs,
		}
		check(t, storer.Form(settings.DataFolder, own.ID, wireMembers))
		c, err := New(settings, logr.Discard(), tally.NoopScope, nil)
		check(t, err)
		controls = append(controls, c)
	}
	return controls
}

// confirmAny retries a change at all instances until the leader accepts it.
func confirmAny(t testing.TB, controls []*Controller, id string, revision uint64) {
	t.Helper()
	intent := &wire.Intent{
		Change: &wire.Intent_SetZoneDrain{
			SetZoneDrain: &wire.ZoneSetting{
				Zone: "zone-a",
			},
		},
	}
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		for _, c := range controls {
			result, err := c.command(t.Context(), &wire.Command{
				Change: &wire.Command_Confirm{
					Confirm: &wire.ConfirmRequest{
						ConfirmId: id,
						Intent:    intent,
						Revision:  revision,
						Digest:    cataloger.Digest(intent, revision),
					},
				},
			})
			if err == nil && result.Confirm.GetAccepted() {
				return
			}
		}
		time.Sleep(tickInterval)
	}
	t.Fatalf("no instance accepted the confirm within %s", testTimeout)
}

// TestCloseLeaksNoGoroutines checks that no goroutine outlives the instances when they are closed with an open stream, a waiting command and stopped peers.
func TestCloseLeaksNoGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	controls := newControls(t, 3)
	confirmAny(t, controls, "first", 0)
	transport := &http.Transport{
		Protocols: &http.Protocols{},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	client := wireconnect.NewControlServiceClient(&http.Client{
		Transport: transport,
	}, "http://"+controls[0].Address())
	stream := client.Watch(t.Context())
	check(t, stream.Send(&wire.WatchRequest{
		Instance: "entry-1",
	}))
	_, err := stream.Receive()
	check(t, err)
	check(t, controls[1].Close())
	check(t, controls[2].Close())
	commandErr := make(chan error, 1)
	go func() {
		_, err := controls[0].command(context.Background(), &wire.Command{})
		commandErr <- err
	}()
	check(t, controls[0].Close())
	select {
	case err := <-commandErr:
		if err == nil {
			t.Error("a command was reported as committed without a quorum")
		}
	case <-time.After(testTimeout):
		t.Error("Close did not end a waiting command")
	}
	_ = stream.CloseRequest()
	_ = stream.CloseResponse()
	transport.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}

// TestWritesRetriedAfterDiskFailure checks that an instance keeps running while its disk rejects writes, acknowledges nothing until the writes are durable, and continues once they succeed again.
func TestWritesRetriedAfterDiskFailure(t *testing.T) {
	const outage = 300 * time.Millisecond
	controls := newControls(t, 1)
	c := controls[0]
	confirmAny(t, controls, "first", 0)
	folder := c.settings.DataFolder
	check(t, os.Rename(folder, folder+".away"))
	check(t, c.store.Close())
	publishErr := make(chan error, 1)
	go func() {
		_, err := c.command(context.Background(), publishCommand(&wire.Publication{
			Version:  7,
			Document: []byte("seventh"),
		}))
		publishErr <- err
	}()
	select {
	case err := <-publishErr:
		t.Fatalf("command returned before it was durable: %v", err)
	case <-c.Done():
		t.Fatal("the instance stopped")
	case <-time.After(outage):
	}
	check(t, os.Rename(folder+".away", folder))
	select {
	case err := <-publishErr:
		check(t, err)
	case <-time.After(testTimeout):
		t.Fatal("command not acknowledged after the disk recovered")
	}
	check(t, c.Close())
	restarted, err := New(c.settings, logr.Discard(), tally.NoopScope, nil)
	check(t, err)
	defer restarted.Close()
	read, err := restarted.ReadDocument(t.Context())
	check(t, err)
	if read.GetVersion() != 7 || string(read.GetDocument()) != "seventh" {
		t.Errorf("read version %d, %q after a restart", read.GetVersion(), read.GetDocument())
	}
}

// TestEmptyDataFolderGetsNewIdentity checks that an instance with an empty data folder never reuses the lost identity, and keeps the new one after a restart.
func TestEmptyDataFolderGetsNewIdentity(t *testing.T) {
	controls := newControls(t, 1)
	settings := controls[0].settings
	check(t, controls[0].Close())
	check(t, os.RemoveAll(settings.DataFolder))
	var identities []string
	for range 2 {
		c, err := New(settings, logr.Discard(), tally.NoopScope, nil)
		check(t, err)
		identities = append(identities, c.id)
		if c.machine.HasJoined() {
			t.Error("an instance with an empty data folder is a voter")
		}
		check(t, c.Close())
	}
	if identities[0] == settings.Instance || identities[0] != identities[1] {
		t.Errorf("identities %v, want the same new identity twice", identities)
	}
}

// BenchmarkConfirm measures sequential changes, each synced by a quorum of three.
func BenchmarkConfirm(b *testing.B) {
	controls := newControls(b, 3)
	confirmAny(b, controls, "first", 0)
	b.ResetTimer()
	for i := range b.N {
		confirmAny(b, controls, fmt.Sprintf("bench-%d", i), uint64(i+1))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "confirms/s")
	b.StopTimer()
	for _, c := range controls {
		check(b, c.Close())
	}
}

// BenchmarkClaim measures concurrent claims, each synced by a quorum of three.
func BenchmarkClaim(b *testing.B) {
	controls := newControls(b, 3)
	confirmAny(b, controls, "first", 0)
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			claimAny(controls)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.StopTimer()
	for _, c := range controls {
		check(b, c.Close())
	}
}

// claimAny retries a claim at all instances until the leader commits it.
func claimAny(controls []*Controller) {
	now := time.Now()
	for {
		for _, c := range controls {
			_, err := c.command(context.Background(), &wire.Command{
				Change: &wire.Command_Claim{
					Claim: &wire.ClaimRequest{
						Service:   "tenants",
						Key:       fmt.Sprint(now.UnixNano()),
						ClaimId:   fmt.Sprint(now.UnixNano()),
						KeyTimeMs: now.UnixMilli(),
					},
				},
			})
			if err == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// claimCommand returns a command that claims the numbered key.
func claimCommand(number uint64) *wire.Command {
	return &wire.Command{
		TimeMs: 1,
		Change: &wire.Command_Claim{
			Claim: &wire.ClaimRequest{
				Service:    "mailbox-restore",
				Tenant:     fmt.Sprintf("tenant-%d", number%8),
				Key:        fmt.Sprintf("key-%d", number),
				ClaimId:    fmt.Sprintf("claim-%d", number),
				BodyDigest: strings.Repeat("d", 64),
				KeyTimeMs:  time.Now().UnixMilli(),
			},
		},
	}
}

// claimMany concurrently claims count keys, starting at number first.
func claimMany(t testing.TB, c *Controller, first, count uint64) {
	t.Helper()
	const callers = 64
	var wg sync.WaitGroup
	for caller := range uint64(callers) {
		wg.Go(func() {
			for number := first + caller; number < first+count; number += callers {
				result, err := c.command(context.Background(), claimCommand(number))
				if err != nil || result.Claim.GetVerdict() != wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
					t.Errorf("claim %d: %v, error %v", number, result.Claim, err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// TestSnapshotAndRestart checks that all claims and changes survive a restart after several snapshots, and that the journal is compacted.
func TestSnapshotAndRestart(t *testing.T) {
	const claims = 3*snapshotEntries - 100
	controls := newControls(t, 1)
	settings := controls[0].settings
	confirmAny(t, controls, "first", 0)
	claimMany(t, controls[0], 0, claims)
	deadline := time.Now().Add(testTimeout)
	for size := claims; size >= snapshotEntries; {
		if time.Now().After(deadline) {
			t.Fatalf("the journal still holds %d entries", size)
		}
		check(t, controls[0].runInLoop(t.Context(), func(time.Time) { size = controls[0].machine.LogLength() }))
	}
	check(t, controls[0].Close())
	before, err := controls[0].state.Snapshot()
	check(t, err)
	c, err := New(settings, logr.Discard(), tally.NoopScope, nil)
	check(t, err)
	confirmAny(t, []*Controller{c}, "second", 1)
	check(t, c.Close())
	if c.appliedIndex < claims || c.state.Catalog.Config().GetRevision() != 2 || len(c.state.Ledger.Claims()) != claims {
		t.Errorf("applied %d, revision %d, %d claims; want %d claims and revision 2", c.appliedIndex, c.state.Catalog.Config().GetRevision(), len(c.state.Ledger.Claims()), claims)
	}
	if len(before) == 0 {
		t.Error("no state before the restart")
	}
}

// BenchmarkSnapshotPause measures the longest time that the event loop is blocked while snapshots of a state with claimCount or more claims are taken.
func BenchmarkSnapshotPause(b *testing.B) {
	for _, claimCount := range []uint64{1_000, 10_000, 90_000} {
		b.Run(fmt.Sprintf("claims=%d", claimCount), func(b *testing.B) {
			controls := newControls(b, 1)
			confirmAny(b, controls, "first", 0)
			claimMany(b, controls[0], 0, claimCount)
			next := claimCount
			longestPause := time.Duration(0)
			stop, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
					}
					start := time.Now()
					_ = controls[0].runInLoop(context.Background(), func(time.Time) {})
					longestPause = max(longestPause, time.Since(start))
				}
			}()
			for b.Loop() {
				claimMany(b, controls[0], next, snapshotEntries)
				next += snapshotEntries
			}
			close(stop)
			<-done
			b.ReportMetric(float64(longestPause.Milliseconds()), "ms-longest-pause")
			check(b, controls[0].Close())
		})
	}
}
