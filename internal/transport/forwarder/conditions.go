package forwarder

import (
	"math"
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/estimator"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// minComparedReplies is the number of replies from which on the attempts of one relay are compared with each other.
	minComparedReplies = 5
	// maxMergedConditions is the number of conditions taken from one message of a peer.
	maxMergedConditions = 64
)

// relayObserver records what the attempts of one call from a peer say of their replicas. The forwarder's mutex guards it.
type relayObserver struct {
	forwarder *Forwarder
	class     string
	replies   []balancer.ReplyTime
	// hasTold is set once conditions were added to a message of the call.
	hasTold bool
}

func newRelayObserver(f *Forwarder, request *wire.RelayRequest) *relayObserver {
	o := &relayObserver{
		forwarder: f,
	}
	if table := f.routingTable.Load(); table != nil {
		path, _, _ := strings.Cut(request.GetPath(), "?")
		if route := table.Match(request.GetHost(), path); route != nil {
			o.class = route.Name
		}
	}
	return o
}

// start records the start of an attempt and returns its time.
func (o *relayObserver) start(r *balancer.ReplicaState) time.Time {
	o.forwarder.mutex.Lock()
	defer o.forwarder.mutex.Unlock()
	now := time.Now()
	o.forwarder.balancer.RecordRelayStart(now, r)
	return now
}

// end records the end of the attempt that started at the given time.
func (o *relayObserver) end(r *balancer.ReplicaState, startedAt time.Time, outcome *scatterer.Outcome) {
	f := o.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	f.balancer.RecordRelayEnd(r, startedAt)
	switch {
	case outcome.Kind == scatterer.OutcomeReplied && outcome.Reply.IsSuccess():
		o.replies = append(o.replies, balancer.ReplyTime{
			Replica: r,
			Elapsed: now.Sub(startedAt),
		})
	case outcome.Kind == scatterer.OutcomeRejected:
		f.balancer.RecordRejection(now, r)
	case outcome.Kind == scatterer.OutcomeReplied, outcome.ConnectionLost, outcome.NoConnection:
		f.balancer.RecordRelayLoss(now, r)
	}
}

// finish compares the reply times of the call's attempts, which all had the same request.
func (o *relayObserver) finish() {
	f := o.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if len(o.replies) >= minComparedReplies {
		f.balancer.RecordReplyTimes(now, o.class, o.replies)
		return
	}
	for _, reply := range o.replies {
		f.balancer.RecordLateReplyTime(now, reply, 0)
	}
}

// takeConditions returns the conditions to add to the first message of the call.
func (o *relayObserver) takeConditions() []*wire.ReplicaCondition {
	f := o.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if o.hasTold {
		return nil
	}
	o.hasTold = true
	var conditions []*wire.ReplicaCondition
	for _, c := range f.balancer.Conditions(time.Now()) {
		conditions = append(conditions, conditionToWire(&c))
	}
	return conditions
}

// mergeConditions adds what a peer has told of replicas; the mutex must be held.
func (f *Forwarder) mergeConditions(now time.Time, conditions []*wire.ReplicaCondition) {
	for _, message := range conditions[:min(len(conditions), maxMergedConditions)] {
		f.balancer.MergeCondition(now, conditionFromWire(message))
	}
}

func conditionToWire(c *balancer.Condition) *wire.ReplicaCondition {
	return &wire.ReplicaCondition{
		Replica:          c.Replica,
		RejectedPermille: permille(c.Rejected),
		LostPermille:     permille(c.Lost),
		SlownessPercent:  uint32(math.Round(100 * c.Slowness)),
		WorkLeftUs:       uint32(min(c.WorkLeft, time.Second).Microseconds()),
		AgeMs:            uint32(min(c.Age, time.Hour).Milliseconds()),
	}
}

func permille(share float64) uint32 { return uint32(math.Round(1000 * share)) }

func conditionFromWire(message *wire.ReplicaCondition) balancer.Condition {
	return balancer.Condition{
		Replica: message.GetReplica(),
		Condition: estimator.Condition{
			Rejected: float64(message.GetRejectedPermille()) / 1000,
			Lost:     float64(message.GetLostPermille()) / 1000,
			Slowness: float64(message.GetSlownessPercent()) / 100,
			WorkLeft: time.Duration(message.GetWorkLeftUs()) * time.Microsecond,
			Age:      time.Duration(message.GetAgeMs()) * time.Millisecond,
		},
	}
}

func loadToWire(load *balancer.ReplicaLoad) *wire.ReplicaLoad {
	if !load.IsStated {
		return nil
	}
	return &wire.ReplicaLoad{
		Running:     uint32(load.Running),
		Waiting:     uint32(load.Waiting),
		Slots:       uint32(load.Slots),
		WorkPercent: uint32(load.WorkPercent),
	}
}

func loadFromWire(message *wire.ReplicaLoad) balancer.ReplicaLoad {
	if message == nil {
		return balancer.ReplicaLoad{}
	}
	return balancer.ReplicaLoad{
		IsStated:    true,
		Running:     int(message.GetRunning()),
		Waiting:     int(message.GetWaiting()),
		Slots:       int(message.GetSlots()),
		WorkPercent: int(message.GetWorkPercent()),
	}
}
