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

// inForceTimeout bounds the time until an accepted configuration is in force at every connected entry instance.
const inForceTimeout = 4 * time.Second

const confirmTimeout = 3 * time.Second

// tenantLimitIntent returns an intent that sets a tenant's limit; different limits make intents distinguishable.
func tenantLimitIntent(tenant string, limit float64) *wire.Intent {
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

func newConfirmRequest(confirmID string, intent *wire.Intent, revision uint64) *wire.ConfirmRequest {
	return &wire.ConfirmRequest{
		ConfirmId: confirmID,
		Intent:    intent,
		Revision:  revision,
		Digest:    cataloger.Digest(intent, revision),
	}
}

// sendConfirm sends a confirm to the leader among the addresses, as the command line does.
func sendConfirm(addresses []string, request *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return gateway.CallLeader(ctx, gateway.NewControlClient(addresses), func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ConfirmResponse], error) {
		return client.Confirm(ctx, connect.NewRequest(request))
	})
}

// readRevision reads the current revision from the leader among the addresses.
func readRevision(addresses []string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	response, err := gateway.CallLeader(ctx, gateway.NewControlClient(addresses), func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.PlanResponse], error) {
		return client.Plan(ctx, connect.NewRequest(&wire.PlanRequest{
			Intent: tenantLimitIntent("reader", 1),
		}))
	})
	return response.GetPlan().GetRevision(), err
}

func (f *fleet) controlAddresses() []string { return strings.Split(f.controlFlag(), ",") }

// configChanger confirms changes one after another until it is stopped. lastRevision is the revision of the last accepted change.
type configChanger struct {
	fleet         *fleet
	lastRevision  atomic.Uint64
	acceptedCount atomic.Uint64
	stop          chan struct{}
	done          chan struct{}
}

func startChanger(f *fleet) *configChanger {
	c := &configChanger{
		fleet: f,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go c.run()
	return c
}

func (c *configChanger) run() {
	defer close(c.done)
	addresses := c.fleet.controlAddresses()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		revision, err := readRevision(addresses)
		if err != nil {
			continue
		}
		response, err := sendConfirm(addresses, newConfirmRequest(fmt.Sprintf("changer-%d", i), tenantLimitIntent("changer", float64(i)), revision))
		if err == nil && response.GetAccepted() {
			c.lastRevision.Store(response.GetRevision())
			c.acceptedCount.Add(1)
		}
	}
}

func (c *configChanger) stopAndWait() {
	close(c.stop)
	<-c.done
}

// waitFurtherChanges waits until five more changes are accepted.
func (c *configChanger) waitFurtherChanges(t *testing.T, when string) {
	t.Helper()
	before := c.acceptedCount.Load()
	waitFor(t, readyTimeout, "changes are accepted "+when, func() bool { return c.acceptedCount.Load() >= before+5 })
}

// waitInForce waits until every entry instance answers queries under the revision or a later one.
func (f *fleet) waitInForce(revision uint64) {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, inForceTimeout, fmt.Sprintf("revision %d is in force at %s", revision, e.name), func() bool {
			answer, status := e.query("revision", 500)
			return status == http.StatusOK && answer.ConfigRevision >= revision
		})
	}
}

func TestLostDisk(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 1,
	})
	changer := startChanger(f)
	lost := f.waitLeader()
	changer.waitFurtherChanges(t, "at the start")
	lost.kill()
	must(t, os.RemoveAll(filepath.Join(f.dir, lost.name)))
	changer.waitFurtherChanges(t, "after the loss")
	lost.start()
	waitFor(t, readyTimeout, "the instance's new identity has replaced the lost one as a voter", func() bool {
		status := lost.status()
		return isVoter(status, status.GetInstance()) && !isMember(status, lost.name) && len(status.GetMembers()) == len(f.controls)
	})
	changer.waitFurtherChanges(t, "after the repair")
	second := f.controls[0]
	if second == lost {
		second = f.controls[1]
	}
	second.kill()
	changer.waitFurtherChanges(t, "after a second loss")
	changer.stopAndWait()
	f.waitInForce(changer.lastRevision.Load())
	if revision, err := readRevision(f.controlAddresses()); err != nil || revision < changer.lastRevision.Load() {
		t.Errorf("revision %d, error %v; accepted %d", revision, err, changer.lastRevision.Load())
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
	f := newFleet(t, topology{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 1,
	})
	const operators = 8
	base, err := readRevision(f.controlAddresses())
	must(t, err)
	answers := make([]*wire.ConfirmResponse, operators)
	requests := make([]*wire.ConfirmRequest, operators)
	var confirms sync.WaitGroup
	for i := range operators {
		requests[i] = newConfirmRequest(fmt.Sprintf("operator-%d", i), tenantLimitIntent(fmt.Sprintf("tenant-%d", i), 1), base)
		confirms.Go(func() {
			answers[i], _ = sendConfirm(f.controlAddresses(), requests[i])
		})
	}
	confirms.Wait()
	accepted := 0
	for i, answer := range answers {
		if answer.GetAccepted() {
			accepted++
			continue
		}
		if len(answer.GetChangedSince()) != 1 || answer.GetRevision() != base+1 {
			t.Errorf("operator %d: %v, want a refusal that lists the one change since", i, answer)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d confirms against one revision were accepted, want 1", accepted)
	}
	// A resend gets the first answer, even from another leader.
	f.waitLeader().kill()
	for i, request := range requests {
		resent, err := sendConfirm(f.controlAddresses(), request)
		must(t, err)
		if resent.GetAccepted() != answers[i].GetAccepted() || resent.GetRevision() != answers[i].GetRevision() || resent.GetReason() != answers[i].GetReason() {
			t.Errorf("operator %d: resend got %v, first answer %v", i, resent, answers[i])
		}
	}
	f.waitInForce(base + 1)
}

// revisionPoller polls an entry instance and counts in regressions the answers with a lower revision than an earlier one; a restart of the instance is no exception.
type revisionPoller struct {
	entry       *process
	highest     atomic.Uint64
	regressions atomic.Uint64
	stop        chan struct{}
	done        chan struct{}
}

func startRevisionPoller(entry *process) *revisionPoller {
	r := &revisionPoller{
		entry: entry,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go r.run()
	return r
}

func (r *revisionPoller) run() {
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
			r.regressions.Add(1)
		}
		r.highest.Store(max(r.highest.Load(), answer.ConfigRevision))
	}
}

func TestConfigurationInForce(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   1,
		replicas: 1,
	})
	var pollers []*revisionPoller
	for _, e := range f.entries {
		pollers = append(pollers, startRevisionPoller(e))
	}
	changer := startChanger(f)
	changer.waitFurtherChanges(t, "at the start")
	f.entries[0].kill()
	leader := f.waitLeader()
	leader.kill()
	changer.waitFurtherChanges(t, "after an entry instance and the leader were killed")
	f.entries[0].start()
	leader.start()
	changer.waitFurtherChanges(t, "after both were restarted")
	changer.stopAndWait()
	lastRevision := changer.lastRevision.Load()
	waitStart := time.Now()
	for _, r := range pollers {
		waitFor(t, inForceTimeout, fmt.Sprintf("revision %d is in force at %s", lastRevision, r.entry.name), func() bool { return r.highest.Load() >= lastRevision })
		close(r.stop)
		<-r.done
		if regressions := r.regressions.Load(); regressions > 0 {
			t.Errorf("%s went back to a lower revision %d times", r.entry.name, regressions)
		}
	}
	t.Logf("revision %d of %d accepted changes was in force everywhere within %s", lastRevision, changer.acceptedCount.Load(), time.Since(waitStart))
}
