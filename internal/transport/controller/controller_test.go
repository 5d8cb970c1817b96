package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
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
		c, err := New(settings, logr.Discard())
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

// TestStopsAfterFailedWrite holds that an instance whose journal can't be written ends, and says why.
func TestStopsAfterFailedWrite(t *testing.T) {
	controls := newControls(t, 1)
	c := controls[0]
	confirmAny(t, controls, "first", 0)
	check(t, c.store.Close())
	_, err := c.command(t.Context(), &wire.Command{})
	if err == nil {
		t.Error("a command was acknowledged without being durable")
	}
	select {
	case <-c.Done():
	case <-time.After(testLimit):
		t.Fatal("the instance went on after a failed write")
	}
	if c.Close() == nil {
		t.Error("the failure was not told")
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
		c, err := New(settings, logr.Discard())
		check(t, err)
		identities = append(identities, c.id)
		if c.machine.Joined() {
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
