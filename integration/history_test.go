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
	historyClients = 5
	// checkLimit bounds the search of one history.
	checkLimit = 20 * time.Second
	// longCut is many leases long.
	longCut = 2 * time.Second
	// readTimeout lets a read of a frozen instance wait for its thaw.
	readTimeout = 4 * time.Second
)

// step is one confirm against a revision, or one read of the revision.
type step struct {
	confirm bool
	base    uint64
}

// outcome is what a step was told; unknown where it was told nothing.
type outcome struct {
	unknown  bool
	accepted bool
	revision uint64
}

// revisionModel is the configuration as one register that moves by one for each accepted confirm against its present value.
func revisionModel(first uint64) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, output any) []any {
			now, in, out := state.(uint64), input.(step), output.(outcome)
			holds := in.confirm && in.base == now
			switch {
			case out.unknown && holds:
				return []any{now, now + 1}
			case out.unknown:
				return []any{now}
			case in.confirm && out.accepted && holds && out.revision == now+1:
				return []any{now + 1}
			case in.confirm && !out.accepted && !holds && out.revision == now:
				return []any{now}
			case !in.confirm && out.revision == now:
				return []any{now}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

// history is what all clients asked and were told.
type history struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
	accepted   atomic.Uint64
	stop       chan struct{}
	group      sync.WaitGroup
}

func (h *history) add(client int, in step, called time.Time, out outcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := time.Now().UnixNano()
	if out.unknown {
		// What is not known to have ended may take effect at any later time.
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

func (h *history) ended() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

// confirmLoop confirms against the revision that it last saw, which others race it for.
func (h *history) confirmLoop(client int, addresses []string) {
	defer h.group.Done()
	base := uint64(1)
	for i := 0; !h.ended(); i++ {
		called := time.Now()
		intent := tenantIntent(fmt.Sprintf("client-%d", client), float64(i))
		answer, err := confirmAt(addresses, confirmOf(fmt.Sprintf("history-%d-%d", client, i), intent, base))
		h.add(client, step{
			confirm: true,
			base:    base,
		}, called, outcome{
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

// readLoop reads from one instance alone, which must refuse unless it leads with its lease.
func (h *history) readLoop(client int, address string) {
	defer h.group.Done()
	for !h.ended() {
		called := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		plan, err := wireconnect.NewControlServiceClient(http.DefaultClient, "http://"+address).Plan(ctx, connect.NewRequest(&wire.PlanRequest{
			Intent: tenantIntent("reader", 1),
		}))
		cancel()
		if err == nil {
			h.add(client, step{}, called, outcome{
				revision: plan.Msg.GetPlan().GetRevision(),
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// isolate silently loses one direction between an instance and all others.
func (f *fleet) isolate(c *process, deaf bool) {
	for _, other := range f.controls {
		if other == c {
			continue
		}
		if deaf {
			f.cutWay(other.name, c.name, "upstream")
		} else {
			f.cutWay(c.name, other.name, "upstream")
		}
	}
}

func (f *fleet) healControls() {
	for _, a := range f.controls {
		for _, b := range f.controls {
			if a != b {
				f.heal(a.name, b.name)
			}
		}
	}
}

// waitAccepted waits until confirms are accepted again.
func (h *history) waitAccepted(t *testing.T, what string) {
	t.Helper()
	before := h.accepted.Load()
	waitFor(t, readyLimit, "confirms are accepted "+what, func() bool { return h.accepted.Load() >= before+3 })
}

func TestConfigurationHistory(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 1,
		links:    true,
	})
	h := &history{
		stop: make(chan struct{}),
	}
	for i := range historyClients {
		h.group.Add(1)
		go h.confirmLoop(i, f.controlList())
	}
	for i, c := range f.controls {
		h.group.Add(1)
		go h.readLoop(historyClients+i, c.address)
	}
	h.waitAccepted(t, "at the start")
	killed := f.leader()
	killed.kill()
	h.waitAccepted(t, "after the leader was killed")
	killed.start()
	for _, deaf := range []bool{true, false} {
		f.isolate(f.leader(), deaf)
		time.Sleep(longCut)
		h.waitAccepted(t, fmt.Sprintf("behind a one-way cut of the leader, deaf %t", deaf))
		f.healControls()
	}
	h.waitAccepted(t, "after the cuts")
	frozen := f.leader()
	frozen.freeze()
	h.waitAccepted(t, "while the leader is frozen")
	frozen.thaw()
	h.waitAccepted(t, "after the thaw")
	close(h.stop)
	h.group.Wait()
	t.Logf("%d operations, %d accepted", len(h.operations), h.accepted.Load())
	if result := porcupine.CheckOperationsTimeout(revisionModel(1), h.operations, checkLimit); result != porcupine.Ok {
		t.Errorf("the history of confirms and reads is not linearizable: %s", result)
	}
}

func TestEvenSplit(t *testing.T) {
	f := newFleet(t, plan{
		controls: 5,
		entries:  1,
		zones:    1,
		shards:   1,
		replicas: 1,
		links:    true,
	})
	base, err := planAt(f.controlList())
	check(t, err)
	f.controls[4].kill()
	sides := [][]*process{f.controls[:2], f.controls[2:4]}
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			f.cut(a.name, b.name)
			f.cut(b.name, a.name)
		}
	}
	request := confirmOf("split", tenantIntent("split", 1), base)
	for _, side := range sides {
		answer, err := confirmAt([]string{side[0].address, side[1].address}, request)
		if err == nil {
			t.Errorf("an even split answered %v", answer)
		}
	}
	for _, c := range f.controls[:4] {
		if revision := c.status().GetRevision(); revision != base {
			t.Errorf("%s has revision %d in a split, want %d", c.name, revision, base)
		}
	}
	f.healControls()
	answer, err := confirmAt(f.controlList(), request)
	check(t, err)
	if !answer.GetAccepted() || answer.GetRevision() != base+1 {
		t.Errorf("after the split: %v, want the one change accepted once", answer)
	}
	f.waitInForce(base + 1)
}
