package integration

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	confirmClients = 5
	// checkTimeout bounds the linearizability check of a history.
	checkTimeout = 20 * time.Second
	// cutDuration is many leader leases long.
	cutDuration = 2 * time.Second
	// readTimeout is long enough for a read sent to a frozen instance to be answered after its thaw.
	readTimeout = 4 * time.Second
)

// registerInput is the input of an operation: a confirm against the base revision, or a read of the revision.
type registerInput struct {
	confirm bool
	base    uint64
}

// registerOutput is the output of an operation; unknown is set if there was no answer.
type registerOutput struct {
	unknown  bool
	accepted bool
	revision uint64
}

// revisionModel models the configuration revision as a register that each accepted confirm increments by one. A confirm is accepted if and only if its base is the current revision.
func revisionModel(initial uint64) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{initial} },
		Step: func(state, input, output any) []any {
			current, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
			baseMatches := in.confirm && in.base == current
			switch {
			case out.unknown && baseMatches:
				return []any{current, current + 1}
			case out.unknown:
				return []any{current}
			case in.confirm && out.accepted && baseMatches && out.revision == current+1:
				return []any{current + 1}
			case in.confirm && !out.accepted && !baseMatches && out.revision == current:
				return []any{current}
			case !in.confirm && out.revision == current:
				return []any{current}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

// history collects the operations of all clients.
type history struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
	accepted   atomic.Uint64
	stop       chan struct{}
	clients    sync.WaitGroup
}

func (h *history) addOperation(client int, in registerInput, called time.Time, out registerOutput) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := time.Now().UnixNano()
	if out.unknown {
		// An operation whose outcome is unknown may take effect at any later time.
		returned = math.MaxInt64
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     called.UnixNano(),
		Output:   out,
		Return:   returned,
	})
}

func (h *history) isStopped() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

// confirmLoop repeatedly confirms a change against the highest revision that it has seen, racing the other clients.
func (h *history) confirmLoop(client int, addresses []string) {
	defer h.clients.Done()
	base := uint64(1)
	for i := 0; !h.isStopped(); i++ {
		called := time.Now()
		intent := tenantLimitIntent(fmt.Sprintf("client-%d", client), float64(i))
		answer, err := sendConfirm(addresses, newConfirmRequest(fmt.Sprintf("history-%d-%d", client, i), intent, base))
		h.addOperation(client, registerInput{
			confirm: true,
			base:    base,
		}, called, registerOutput{
			unknown:  err != nil,
			accepted: answer.GetAccepted(),
			revision: answer.GetRevision(),
		})
		base = max(base, answer.GetRevision())
		if answer.GetAccepted() {
			h.accepted.Add(1)
		}
	}
}

// readLoop repeatedly reads the revision from a single instance, which must refuse unless it is the leader and holds the lease.
func (h *history) readLoop(client int, address string) {
	defer h.clients.Done()
	for !h.isStopped() {
		called := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		plan, err := wireconnect.NewControlServiceClient(http.DefaultClient, "http://"+address).Plan(ctx, connect.NewRequest(&wire.PlanRequest{
			Intent: tenantLimitIntent("reader", 1),
		}))
		cancel()
		if err == nil {
			h.addOperation(client, registerInput{}, called, registerOutput{
				revision: plan.Msg.GetPlan().GetRevision(),
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// isolateOneWay silently drops one direction of an instance's links: if inbound, the requests of the other control instances to it, else its requests to them. Requests in the other direction and their responses still pass.
func (f *fleet) isolateOneWay(c *process, inbound bool) {
	for _, other := range f.controls {
		if other == c {
			continue
		}
		if inbound {
			f.cutDirection(other.name, c.name, "upstream")
		} else {
			f.cutDirection(c.name, other.name, "upstream")
		}
	}
}

func (f *fleet) healPeerLinks() {
	for _, a := range f.controls {
		for _, b := range f.controls {
			if a != b {
				f.healLink(a.name, b.name)
			}
		}
	}
}

// waitAccepted waits until three more confirms are accepted.
func (h *history) waitAccepted(t *testing.T, when string) {
	t.Helper()
	before := h.accepted.Load()
	waitFor(t, readyTimeout, "confirms are accepted "+when, func() bool { return h.accepted.Load() >= before+3 })
}

func TestConfigurationHistory(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 1,
		proxied:  true,
	})
	h := &history{
		stop: make(chan struct{}),
	}
	for i := range confirmClients {
		h.clients.Add(1)
		go h.confirmLoop(i, f.controlAddresses())
	}
	for i, c := range f.controls {
		h.clients.Add(1)
		go h.readLoop(confirmClients+i, c.address)
	}
	h.waitAccepted(t, "at the start")
	killed := f.waitLeader()
	killed.kill()
	h.waitAccepted(t, "after the leader was killed")
	killed.start()
	for _, inbound := range []bool{true, false} {
		f.isolateOneWay(f.waitLeader(), inbound)
		time.Sleep(cutDuration)
		h.waitAccepted(t, fmt.Sprintf("while one direction of the former leader's links is cut, inbound %t", inbound))
		f.healPeerLinks()
	}
	h.waitAccepted(t, "after the links are restored")
	frozen := f.waitLeader()
	frozen.freeze()
	h.waitAccepted(t, "while the leader is frozen")
	frozen.thaw()
	h.waitAccepted(t, "after the thaw")
	close(h.stop)
	h.clients.Wait()
	t.Logf("%d operations, %d accepted", len(h.operations), h.accepted.Load())
	if result := porcupine.CheckOperationsTimeout(revisionModel(1), h.operations, checkTimeout); result != porcupine.Ok {
		t.Errorf("the history of confirms and reads is not linearizable: %s", result)
	}
}

func TestEvenSplit(t *testing.T) {
	f := newFleet(t, topology{
		controls: 5,
		entries:  1,
		zones:    1,
		shards:   1,
		replicas: 1,
		proxied:  true,
	})
	base, err := readRevision(f.controlAddresses())
	must(t, err)
	f.controls[4].kill()
	sides := [][]*process{f.controls[:2], f.controls[2:4]}
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			f.cutLink(a.name, b.name)
			f.cutLink(b.name, a.name)
		}
	}
	request := newConfirmRequest("split", tenantLimitIntent("split", 1), base)
	for _, side := range sides {
		answer, err := sendConfirm([]string{side[0].address, side[1].address}, request)
		if err == nil {
			t.Errorf("a side without a quorum answered the confirm: %v", answer)
		}
	}
	for _, c := range f.controls[:4] {
		if revision := c.status().GetRevision(); revision != base {
			t.Errorf("%s has revision %d during the partition, want %d", c.name, revision, base)
		}
	}
	f.healPeerLinks()
	answer, err := sendConfirm(f.controlAddresses(), request)
	must(t, err)
	if !answer.GetAccepted() || answer.GetRevision() != base+1 {
		t.Errorf("after the partition: %v, want the change accepted once", answer)
	}
	f.waitInForce(base + 1)
}
