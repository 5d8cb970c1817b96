package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// inForceLimit is how soon an accepted configuration is in force at every connected entry instance.
const inForceLimit = 4 * time.Second

const confirmTimeout = 3 * time.Second

// tenantIntent returns a change that tells itself apart by its limit.
func tenantIntent(tenant string, limit float64) *wire.Intent {
	return &wire.Intent{
		Change: &wire.Intent_SetTenantLimit{
			SetTenantLimit: &wire.TenantLimit{
				Tenant:            tenant,
				RequestsPerSecond: limit,
				Burst:             1,
			},
		},
	}
}

func confirmOf(id string, intent *wire.Intent, revision uint64) *wire.ConfirmRequest {
	return &wire.ConfirmRequest{
		ConfirmId: id,
		Intent:    intent,
		Revision:  revision,
		Digest:    cataloger.Digest(intent, revision),
	}
}

// confirmAt sends a confirm to whoever leads among the addresses, as the command line does.
func confirmAt(addresses []string, request *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return gateway.CallLeader(ctx, gateway.NewControlClient(addresses), func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ConfirmResponse], error) {
		return client.Confirm(ctx, connect.NewRequest(request))
	})
}

// planAt reads the revision from whoever leads among the addresses.
func planAt(addresses []string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	response, err := gateway.CallLeader(ctx, gateway.NewControlClient(addresses), func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.PlanResponse], error) {
		return client.Plan(ctx, connect.NewRequest(&wire.PlanRequest{
			Intent: tenantIntent("reader", 1),
		}))
	})
	return response.GetPlan().GetRevision(), err
}

func (f *fleet) controlList() []string { return strings.Split(f.controlAddresses(), ",") }

// changer confirms one change after the other, and keeps the highest revision that was acknowledged.
type changer struct {
	fleet    *fleet
	accepted atomic.Uint64
	count    atomic.Uint64
	stop     chan struct{}
	done     chan struct{}
}

func newChanger(f *fleet) *changer {
	c := &changer{
		fleet: f,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go c.run()
	return c
}

func (c *changer) run() {
	defer close(c.done)
	addresses := c.fleet.controlList()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		revision, err := planAt(addresses)
		if err != nil {
			continue
		}
		response, err := confirmAt(addresses, confirmOf(fmt.Sprintf("changer-%d", i), tenantIntent("changer", float64(i)), revision))
		if err == nil && response.GetAccepted() {
			c.accepted.Store(response.GetRevision())
			c.count.Add(1)
		}
	}
}

func (c *changer) end() {
	close(c.stop)
	<-c.done
}

// waitMore waits until further changes are accepted.
func (c *changer) waitMore(t *testing.T, what string) {
	t.Helper()
	before := c.count.Load()
	waitFor(t, readyLimit, "changes go on "+what, func() bool { return c.count.Load() >= before+5 })
}

// waitInForce waits until every entry instance answers under the revision.
func (f *fleet) waitInForce(revision uint64) {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, inForceLimit, fmt.Sprintf("revision %d is in force at %s", revision, e.name), func() bool {
			answer, status := e.query("revision", 500)
			return status == http.StatusOK && answer.ConfigRevision >= revision
		})
	}
}

func TestLostDisk(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 1,
	})
	changes := newChanger(f)
	lost := f.leader()
	changes.waitMore(t, "at the start")
	lost.kill()
	check(t, os.RemoveAll(filepath.Join(f.folder, lost.name)))
	changes.waitMore(t, "after the loss")
	lost.start()
	waitFor(t, readyLimit, "the new identity has the lost one's vote", func() bool {
		status := lost.status()
		return isVoter(status, status.GetInstance()) && !isMember(status, lost.name) && len(status.GetMembers()) == len(f.controls)
	})
	changes.waitMore(t, "after the repair")
	second := f.controls[0]
	if second == lost {
		second = f.controls[1]
	}
	second.kill()
	changes.waitMore(t, "after a second loss")
	changes.end()
	f.waitInForce(changes.accepted.Load())
	if revision, err := planAt(f.controlList()); err != nil || revision < changes.accepted.Load() {
		t.Errorf("revision %d, error %v; accepted %d", revision, err, changes.accepted.Load())
	}
}

func isVoter(status *wire.StatusResponse, id string) bool {
	for _, member := range status.GetMembers() {
		if member.GetId() == id && !member.GetLearner() {
			return true
		}
	}
	return false
}

func isMember(status *wire.StatusResponse, id string) bool {
	for _, member := range status.GetMembers() {
		if member.GetId() == id {
			return true
		}
	}
	return false
}

func TestEqualConfirms(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 1,
	})
	const operators = 8
	base, err := planAt(f.controlList())
	check(t, err)
	answers := make([]*wire.ConfirmResponse, operators)
	requests := make([]*wire.ConfirmRequest, operators)
	var group sync.WaitGroup
	for i := range operators {
		requests[i] = confirmOf(fmt.Sprintf("operator-%d", i), tenantIntent(fmt.Sprintf("tenant-%d", i), 1), base)
		group.Go(func() {
			answers[i], _ = confirmAt(f.controlList(), requests[i])
		})
	}
	group.Wait()
	accepted := 0
	for i, answer := range answers {
		if answer.GetAccepted() {
			accepted++
			continue
		}
		if len(answer.GetChangedSince()) != 1 || answer.GetRevision() != base+1 {
			t.Errorf("operator %d: %v, want what changed since", i, answer)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d confirms against one revision were accepted, want 1", accepted)
	}
	// A resend, also under another leader, gets the first answer.
	f.leader().kill()
	for i, request := range requests {
		again, err := confirmAt(f.controlList(), request)
		check(t, err)
		if again.GetAccepted() != answers[i].GetAccepted() || again.GetRevision() != answers[i].GetRevision() || again.GetReason() != answers[i].GetReason() {
			t.Errorf("operator %d: resend got %v, first answer %v", i, again, answers[i])
		}
	}
	f.waitInForce(base + 1)
}

// revisionLog polls one entry instance, and holds that its answers never go back to a lower revision, also after a restart.
type revisionLog struct {
	entry   *process
	highest atomic.Uint64
	back    atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

func newRevisionLog(entry *process) *revisionLog {
	r := &revisionLog{
		entry: entry,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go r.run()
	return r
}

func (r *revisionLog) run() {
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			return
		default:
		}
		answer, status := r.entry.query("log", 300)
		if status == 0 || answer.ConfigRevision == 0 {
			continue
		}
		if answer.ConfigRevision < r.highest.Load() {
			r.back.Add(1)
		}
		r.highest.Store(max(r.highest.Load(), answer.ConfigRevision))
	}
}

func TestConfigurationInForce(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   1,
		replicas: 1,
	})
	var logs []*revisionLog
	for _, e := range f.entries {
		logs = append(logs, newRevisionLog(e))
	}
	changes := newChanger(f)
	changes.waitMore(t, "at the start")
	f.entries[0].kill()
	leader := f.leader()
	leader.kill()
	changes.waitMore(t, "after an entry instance and the leader were killed")
	f.entries[0].start()
	leader.start()
	changes.waitMore(t, "after both came back")
	changes.end()
	accepted := changes.accepted.Load()
	at := time.Now()
	for _, r := range logs {
		waitFor(t, inForceLimit, fmt.Sprintf("revision %d is in force at %s", accepted, r.entry.name), func() bool { return r.highest.Load() >= accepted })
		close(r.stop)
		<-r.done
		if back := r.back.Load(); back > 0 {
			t.Errorf("%s went back to a lower revision %d times", r.entry.name, back)
		}
	}
	t.Logf("revision %d of %d accepted changes was in force everywhere within %s", accepted, changes.count.Load(), time.Since(at))
}
