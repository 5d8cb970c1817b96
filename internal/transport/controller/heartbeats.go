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
	// heartbeatReportInterval is the interval at which control instances report to the leader which replicas sent heartbeats.
	heartbeatReportInterval = 2 * time.Second
	// maxExpiriesPerRound bounds the replicas that expire in one round, so that a fault in the control instances does not empty the replica table.
	maxExpiriesPerRound = 64
)

// heartbeats records the replicas that this instance and, at the leader, any other control instance has received heartbeats from. The leader marks replicas without heartbeats as lost.
type heartbeats struct {
	controller *Controller
	mutex      sync.Mutex
	// lastHeartbeatAt holds the time of the last heartbeat received here, by replica ID.
	lastHeartbeatAt map[string]time.Time
	expirer         *expirer.Expirer
	done            chan struct{}
}

func newHeartbeats(c *Controller) *heartbeats {
	return &heartbeats{
		controller:      c,
		lastHeartbeatAt: map[string]time.Time{},
		expirer:         expirer.New(expirer.DefaultSilenceTimeout),
		done:            make(chan struct{}),
	}
}

// record stores the time of a heartbeat that this instance received.
func (h *heartbeats) record(now time.Time, id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastHeartbeatAt[id] = now
	h.expirer.RecordHeartbeat(now, xxhash.Sum64String(id))
}

// recordReport stores the heartbeats that another control instance reports, by the hash of the replica ID.
func (h *heartbeats) recordReport(now time.Time, instance string, replicas []uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.expirer.RecordReport(now, instance)
	for _, replica := range replicas {
		h.expirer.RecordHeartbeat(now, replica)
	}
}

func (h *heartbeats) run() {
	defer close(h.done)
	ticker := time.NewTicker(heartbeatReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.controller.done:
			return
		case <-ticker.C:
			h.reportOrExpire()
		}
	}
}

// reportOrExpire reports the received heartbeats to the leader or, if this instance is the leader, marks silent replicas as lost.
func (h *heartbeats) reportOrExpire() {
	c := h.controller
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatReportInterval)
	defer cancel()
	var leader, term = "", uint64(0)
	var members []string
	var replicas []*wire.Replica
	err := c.runInLoop(ctx, func(now time.Time) {
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
		c.log.Info("heartbeat round skipped", "cause", err.Error())
		return
	}
	if leader == c.id {
		h.expireSilent(ctx, term, members, replicas)
		return
	}
	h.sendReport(ctx, c.addresses.find(leader))
}

// sendReport sends the replicas that recently sent heartbeats to the leader, if its address is known.
func (h *heartbeats) sendReport(ctx context.Context, address string) {
	replicaHashes := h.recentReplicas(time.Now())
	if address == "" {
		return
	}
	// The error is ignored: the next report repeats what a lost one contained.
	_, _ = wireconnect.NewFleetServiceClient(h.controller.client, "http://"+address).Heard(ctx, connect.NewRequest(&wire.HeardRequest{
		Instance: h.controller.id,
		Replicas: replicaHashes,
	}))
}

// recentReplicas returns the hashed IDs of the replicas that sent a heartbeat within the last two intervals, and removes the others.
func (h *heartbeats) recentReplicas(now time.Time) []uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var hashes []uint64
	for id, heartbeatAt := range h.lastHeartbeatAt {
		if now.Sub(heartbeatAt) > 2*heartbeatReportInterval {
			delete(h.lastHeartbeatAt, id)
			continue
		}
		hashes = append(hashes, xxhash.Sum64String(id))
	}
	return hashes
}

// expireSilent marks the replicas as lost that no control instance has received a heartbeat from within the expirer's silence timeout.
func (h *heartbeats) expireSilent(ctx context.Context, term uint64, members []string, replicas []*wire.Replica) {
	silentReplicas := h.silentReplicas(time.Now(), term, members, replicas)
	for i, replica := range silentReplicas {
		if i == maxExpiriesPerRound {
			return
		}
		lost := proto.CloneOf(replica)
		lost.State = wire.ReplicaState_REPLICA_STATE_LOST
		if _, err := h.controller.command(ctx, enrollCommand(lost)); err != nil {
			h.controller.log.Info("failed to mark a silent replica as lost", "replica", replica.GetId(), "reason", err.Error())
			return
		}
		h.controller.log.Info("replica lost", "replica", replica.GetId(), "service", replica.GetService(), "address", replica.GetAddress(),
			"silent-for", expirer.DefaultSilenceTimeout.String())
	}
}

// silentReplicas returns the ready replicas that the expirer reports as silent.
func (h *heartbeats) silentReplicas(now time.Time, term uint64, members []string, replicas []*wire.Replica) []*wire.Replica {
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

// Heard records the heartbeats that another control instance has received.
func (s *fleetService) Heard(_ context.Context, request *connect.Request[wire.HeardRequest]) (*connect.Response[wire.HeardResponse], error) {
	s.controller.heartbeats.recordReport(time.Now(), request.Msg.GetInstance(), request.Msg.GetReplicas())
	return connect.NewResponse(&wire.HeardResponse{}), nil
}
