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
	testLimit    = 10 * time.Second
	testElection = 200
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

// newControls starts control instances with journals of their own.
func newControls(t testing.TB, count int) []*Controller {
	t.Helper()
	folder := t.TempDir()
	var listed []checker.ControlMember
	var members []*wire.ControlMember
	for i := range count {
		listed = append(listed, checker.ControlMember{
			ID:      fmt.Sprintf("control-%d", i),
			Address: freeAddress(t),
		})
		members = append(members, &wire.ControlMember{
			Id:      listed[i].ID,
			Address: listed[i].Address,
		})
	}
	var controls []*Controller
	for _, own := range listed {
		settings := &checker.Control{
			Instance:          own.ID,
			Zone:              "zone-a",
			Listen:            own.Address,
			DataFolder:        filepath.Join(folder, own.ID),
			Members:           listed,
			ElectionTimeoutMs: testElection,
		}
		check(t, storer.Form(settings.DataFolder, own.ID, members))
		c, err := New(settings, logr.Discard(), tally.NoopScope)
		check(t, err)
		controls = append(controls, c)
	}
	return controls
}

// confirmAny confirms a change at whichever instance leads, and waits for that.
func confirmAny(t testing.TB, controls []*Controller, id string, revision uint64) {
	t.Helper()
	intent := &wire.Intent{
		Change: &wire.Intent_SetZoneDrain{
			SetZoneDrain: &wire.ZoneSetting{
				Zone: "zone-a",
			},
		},
	}
	deadline := time.Now().Add(testLimit)
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
		time.Sleep(tickPeriod)
	}
	t.Fatalf("no instance accepted the confirm within %s", testLimit)
}

// TestCloseLeavesNothing holds that no goroutine outlives the instances: with streams open, with commands waiting, and with peers gone.
func TestCloseLeavesNothing(t *testing.T) {
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
	waiting := make(chan error, 1)
	go func() {
		_, err := controls[0].command(context.Background(), &wire.Command{})
		waiting <- err
	}()
	check(t, controls[0].Close())
	select {
	case err := <-waiting:
		if err == nil {
			t.Error("a command without a quorum was answered as committed")
		}
	case <-time.After(testLimit):
		t.Error("a waiting command was not answered at the close")
	}
	_ = stream.CloseRequest()
	_ = stream.CloseResponse()
	transport.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}

// TestDiskRefuses holds that an instance whose disk refuses writes stays up, acknowledges nothing until they are durable, and goes on once the disk takes them again.
func TestDiskRefuses(t *testing.T) {
	const refuses = 300 * time.Millisecond
	controls := newControls(t, 1)
	c := controls[0]
	confirmAny(t, controls, "first", 0)
	folder := c.settings.DataFolder
	check(t, os.Rename(folder, folder+".away"))
	check(t, c.store.Close())
	acknowledged := make(chan error, 1)
	go func() {
		_, err := c.command(context.Background(), publishCommand(&wire.Publication{
			Version:  7,
			Document: []byte("seventh"),
		}))
		acknowledged <- err
	}()
	select {
	case err := <-acknowledged:
		t.Fatalf("answered while nothing was durable: %v", err)
	case <-c.Done():
		t.Fatal("the instance ended")
	case <-time.After(refuses):
	}
	check(t, os.Rename(folder+".away", folder))
	select {
	case err := <-acknowledged:
		check(t, err)
	case <-time.After(testLimit):
		t.Fatal("not acknowledged after the disk had come back")
	}
	check(t, c.Close())
	again, err := New(c.settings, logr.Discard(), tally.NoopScope)
	check(t, err)
	defer again.Close()
	read, err := again.ReadDocument(t.Context())
	check(t, err)
	if read.GetVersion() != 7 || string(read.GetDocument()) != "seventh" {
		t.Errorf("read version %d, %q after a restart", read.GetVersion(), read.GetDocument())
	}
}

// TestBlankIdentity holds that an empty data folder never gives the lost identity back, and a restart keeps the new one.
func TestBlankIdentity(t *testing.T) {
	controls := newControls(t, 1)
	settings := controls[0].settings
	check(t, controls[0].Close())
	check(t, os.RemoveAll(settings.DataFolder))
	var identities []string
	for range 2 {
		c, err := New(settings, logr.Discard(), tally.NoopScope)
		check(t, err)
		identities = append(identities, c.id)
		if c.machine.HasJoined() {
			t.Error("an empty data folder gave a vote")
		}
		check(t, c.Close())
	}
	if identities[0] == settings.Instance || identities[0] != identities[1] {
		t.Errorf("identities %v, want one new one", identities)
	}
}

// BenchmarkConfirm measures changes one after the other, each synced by a quorum of three.
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

// BenchmarkClaim measures claims of many callers at once, each synced by a quorum of three.
func BenchmarkClaim(b *testing.B) {
	controls := newControls(b, 3)
	confirmAny(b, controls, "first", 0)
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			claimAny(controls)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.StopTimer()
	for _, c := range controls {
		check(b, c.Close())
	}
}

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

// claimCommand claims the key of a number.
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

// claimMany claims so many keys from the first on, many at once.
func claimMany(t testing.TB, c *Controller, first, count uint64) {
	t.Helper()
	const callers = 64
	var group sync.WaitGroup
	for caller := range uint64(callers) {
		group.Go(func() {
			for number := first + caller; number < first+count; number += callers {
				result, err := c.command(context.Background(), claimCommand(number))
				if err != nil || result.Claim.GetVerdict() != wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
					t.Errorf("claim %d: %v, error %v", number, result.Claim, err)
					return
				}
			}
		})
	}
	group.Wait()
}

// TestSnapshotAndRestart holds that a restart behind several snapshots knows every claim and change, and that the journal is cut.
func TestSnapshotAndRestart(t *testing.T) {
	const claims = 3*snapshotLag - 100
	controls := newControls(t, 1)
	settings := controls[0].settings
	confirmAny(t, controls, "first", 0)
	claimMany(t, controls[0], 0, claims)
	deadline := time.Now().Add(testLimit)
	for size := claims; size >= snapshotLag; {
		if time.Now().After(deadline) {
			t.Fatalf("the journal still holds %d entries", size)
		}
		check(t, controls[0].ask(t.Context(), func(time.Time) { size = controls[0].machine.LogLength() }))
	}
	check(t, controls[0].Close())
	before, err := controls[0].state.Snapshot()
	check(t, err)
	c, err := New(settings, logr.Discard(), tally.NoopScope)
	check(t, err)
	confirmAny(t, []*Controller{c}, "second", 1)
	check(t, c.Close())
	if c.applied < claims || c.state.Catalog.Config().GetRevision() != 2 || len(c.state.Ledger.Claims()) != claims {
		t.Errorf("applied %d, revision %d, %d claims; want %d claims and revision 2", c.applied, c.state.Catalog.Config().GetRevision(), len(c.state.Ledger.Claims()), claims)
	}
	if len(before) == 0 {
		t.Error("no state before the restart")
	}
}

// BenchmarkPause measures the longest time that the loop is held up while snapshots of so many claims are taken.
func BenchmarkPause(b *testing.B) {
	for _, held := range []uint64{1_000, 10_000, 90_000} {
		b.Run(fmt.Sprintf("claims=%d", held), func(b *testing.B) {
			controls := newControls(b, 1)
			confirmAny(b, controls, "first", 0)
			claimMany(b, controls[0], 0, held)
			next := held
			longest := time.Duration(0)
			stop, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
					}
					asked := time.Now()
					_ = controls[0].ask(context.Background(), func(time.Time) {})
					longest = max(longest, time.Since(asked))
				}
			}()
			for b.Loop() {
				claimMany(b, controls[0], next, snapshotLag)
				next += snapshotLag
			}
			close(stop)
			<-done
			b.ReportMetric(float64(longest.Milliseconds()), "ms-longest-pause")
			check(b, controls[0].Close())
		})
	}
}
