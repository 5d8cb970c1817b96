package controller

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/expirer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// heardPeriod is how often control instances tell the leader whom they have heard.
	heardPeriod = 2 * time.Second
	// expiriesAtOnce bounds the replicas that are given up in one period, so that a fault of control empties no table.
	expiriesAtOnce = 64
)

// heartbeats keeps whom this instance and, at the leader, any other has heard, and lets the leader give replicas up that nobody hears.
type heartbeats struct {
	controller *Controller
	mutex      sync.Mutex
	heard      map[string]time.Time
	expirer    *expirer.Expirer
	done       chan struct{}
}

func newHeartbeats(c *Controller) *heartbeats {
	return &heartbeats{
		controller: c,
		heard:      map[string]time.Time{},
		expirer:    expirer.New(expirer.DefaultSilenceTimeout),
		done:       make(chan struct{}),
	}
}

// note keeps that the replica was heard here.
func (h *heartbeats) note(now time.Time, id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.heard[id] = now
	h.expirer.RecordHeartbeat(now, xxhash.Sum64String(id))
}

// take keeps what another control instance has heard.
func (h *heartbeats) take(now time.Time, instance string, replicas []uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.expirer.RecordReport(now, instance)
	for _, replica := range replicas {
		h.expirer.RecordHeartbeat(now, replica)
	}
}

func (h *heartbeats) run() {
	defer close(h.done)
	ticker := time.NewTicker(heardPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.controller.done:
			return
		case <-ticker.C:
			h.round()
		}
	}
}

// round tells the leader of whom this instance has heard, or gives up the silent where it leads.
func (h *heartbeats) round() {
	c := h.controller
	ctx, cancel := context.WithTimeout(context.Background(), heardPeriod)
	defer cancel()
	var leader, term = "", uint64(0)
	var members []string
	var replicas []*wire.Replica
	err := c.ask(ctx, func(now time.Time) {
		leader = c.machine.Leader()
		term = c.machine.Term()
		if leader != c.id || !c.machine.HasLease(now) {
			return
		}
		for _, member := range c.machine.Members() {
			if member.GetId() != c.id {
				members = append(members, member.GetId())
			}
		}
		replicas = c.state.Enroller.Replicas(0)
	})
	if err != nil {
		c.log.Info("heartbeats not counted", "cause", err.Error())
		return
	}
	if leader == c.id {
		h.giveUp(ctx, term, members, replicas)
		return
	}
	h.report(ctx, c.addresses.of(leader))
}

func (h *heartbeats) report(ctx context.Context, address string) {
	list := h.lately(time.Now())
	if address == "" {
		return
	}
	// A lost report is made good by the next one.
	_, _ = wireconnect.NewFleetServiceClient(h.controller.client, "http://"+address).Heard(ctx, connect.NewRequest(&wire.HeardRequest{
		Instance: h.controller.id,
		Replicas: list,
	}))
}

// lately returns whom this instance has heard within the last two periods, and forgets the rest.
func (h *heartbeats) lately(now time.Time) []uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var list []uint64
	for id, at := range h.heard {
		if now.Sub(at) > 2*heardPeriod {
			delete(h.heard, id)
			continue
		}
		list = append(list, xxhash.Sum64String(id))
	}
	return list
}

// giveUp marks the replicas as lost that no control instance has heard for long.
func (h *heartbeats) giveUp(ctx context.Context, term uint64, members []string, replicas []*wire.Replica) {
	silent := h.silent(time.Now(), term, members, replicas)
	for i, replica := range silent {
		if i == expiriesAtOnce {
			return
		}
		lost := proto.CloneOf(replica)
		lost.State = wire.ReplicaState_REPLICA_STATE_LOST
		if _, err := h.controller.command(ctx, enrollCommand(lost)); err != nil {
			h.controller.log.Info("silent replica is kept", "replica", replica.GetId(), "reason", err.Error())
			return
		}
		h.controller.log.Info("replica lost", "replica", replica.GetId(), "service", replica.GetService(), "address", replica.GetAddress(),
			"silent-for", expirer.DefaultSilenceTimeout.String())
	}
}

func (h *heartbeats) silent(now time.Time, term uint64, members []string, replicas []*wire.Replica) []*wire.Replica {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.expirer.BeginRound(now, term, members)
	var list []*wire.Replica
	for _, replica := range replicas {
		if replica.GetState() == wire.ReplicaState_REPLICA_STATE_READY && h.expirer.IsSilent(now, xxhash.Sum64String(replica.GetId())) {
			list = append(list, replica)
		}
	}
	return list
}

// Heard takes what another control instance has heard.
func (s *fleetService) Heard(_ context.Context, request *connect.Request[wire.HeardRequest]) (*connect.Response[wire.HeardResponse], error) {
	s.controller.heartbeats.take(time.Now(), request.Msg.GetInstance(), request.Msg.GetReplicas())
	return connect.NewResponse(&wire.HeardResponse{}), nil
}
