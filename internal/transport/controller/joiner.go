package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	joinInterval = 200 * time.Millisecond
	joinTimeout  = 500 * time.Millisecond
	// maxRejoinInterval bounds the interval between the requests of an instance that has joined before. Without a leader every request is refused, and the requests of all instances compete with the election.
	maxRejoinInterval = 1600 * time.Millisecond
	// rejoinAfter is how long a member is without contact to a leader before it requests to join again. It is longer than an election.
	rejoinAfter = time.Second
)

// joiner requests membership from the other control instances until this one is a voter. With a formation it keeps running, and requests it again after a long time without a leader.
type joiner struct {
	controller *Controller
	// lastRefusal is the last refusal that was logged.
	lastRefusal string
	done        chan struct{}

	mutex sync.Mutex
	// seeds are the addresses of the other control instances in the settings.
	seeds []string
}

func newJoiner(c *Controller) *joiner {
	return &joiner{
		controller: c,
		done:       make(chan struct{}),
		seeds:      c.settings.ControlAddresses(),
	}
}

func (j *joiner) setSeeds(seeds []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seeds = seeds
}

func (j *joiner) run() {
	defer close(j.done)
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	lastContact := time.Now()
	rejoinAt, rejoinInterval := time.Time{}, joinInterval
	for {
		hasJoined, inContact := j.membershipStatus()
		if inContact {
			lastContact = time.Now()
			rejoinInterval = joinInterval
		}
		if hasJoined && j.controller.settings.Formation == nil {
			return
		}
		// A member that was removed during a network partition is not told of its removal, so it requests to join again.
		if now := time.Now(); !hasJoined || now.Sub(lastContact) > rejoinAfter && !now.Before(rejoinAt) {
			j.requestJoin()
			rejoinAt = now.Add(rejoinInterval)
			rejoinInterval = min(2*rejoinInterval, maxRejoinInterval)
		}
		select {
		case <-ticker.C:
		case <-j.controller.done:
			return
		}
	}
}

// membershipStatus reports whether this instance is a voter according to its own journal, and whether it is in contact with a leader.
func (j *joiner) membershipStatus() (bool, bool) {
	var hasJoined, inContact bool
	_ = j.controller.runInLoop(context.Background(), func(now time.Time) {
		own := j.controller.machine.Members().Find(j.controller.id)
		// The first membership holds no zones, so a founder has to join once to record its zone.
		hasJoined = j.controller.machine.HasJoined() && (j.controller.settings.Formation == nil || own.GetZone() == j.controller.settings.Zone)
		inContact = j.controller.machine.InContact(now)
	})
	return hasJoined, inContact
}

// requestJoin sends a join request to each candidate until one accepts it.
func (j *joiner) requestJoin() {
	settings := j.controller.settings
	member := &wire.ControlMember{
		Id:      j.controller.id,
		Address: settings.AdvertisedAddress(),
		Zone:    settings.Zone,
	}
	tried := map[string]bool{}
	// The queue grows during the loop, since the leader may not be among the addresses known at first.
	for queue := j.candidateAddresses(); len(queue) > 0; queue = queue[1:] {
		if tried[queue[0]] {
			continue
		}
		tried[queue[0]] = true
		accepted, leader := j.requestJoinFrom(queue[0], member)
		if accepted {
			return
		}
		if leader != "" {
			queue = append(queue, leader)
		}
	}
}

// candidateAddresses returns the distinct addresses of other control instances, from the settings, the journal and join responses.
func (j *joiner) candidateAddresses() []string {
	own := j.controller.settings.AdvertisedAddress()
	j.mutex.Lock()
	seeds := slices.Clone(j.seeds)
	j.mutex.Unlock()
	var list []string
	for _, address := range append(seeds, j.controller.addresses.all()...) {
		if address != own && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// requestJoinFrom sends a join request to an instance and reports whether it accepted. If it did not, it returns the leader's address, or "" if the instance did not name one.
func (j *joiner) requestJoinFrom(address string, member *wire.ControlMember) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	client := wireconnect.NewJournalServiceClient(j.controller.client, "http://"+address)
	response, err := client.Join(ctx, connect.NewRequest(&wire.JoinRequest{
		Member: member,
	}))
	if err != nil {
		j.logRefusal(address, err)
		return false, listener.ErrorDetail[*wire.NotLeader](err).GetLeaderAddress()
	}
	j.controller.addresses.addFallback(response.Msg.GetMembers())
	return true, ""
}

// logRefusal logs why a join request was refused, unless the last logged refusal was the same.
func (j *joiner) logRefusal(address string, err error) {
	if connect.CodeOf(err) != connect.CodePermissionDenied || err.Error() == j.lastRefusal {
		return
	}
	j.lastRefusal = err.Error()
	j.controller.log.Info("join request refused", "asked", address, "reason", j.lastRefusal)
}

// Join proposes the next membership change that turns the requesting instance into a voter.
func (s *journalService) Join(ctx context.Context, request *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	c := s.controller
	response := &wire.JoinResponse{}
	var joinErr error
	err := c.runInLoop(ctx, func(now time.Time) {
		joinErr = c.machine.Join(now, request.Msg.GetMember())
		response.Members = c.machine.Members()
	})
	if err == nil {
		err = joinErr
	}
	if err != nil {
		return nil, c.connectError(err)
	}
	return connect.NewResponse(response), nil
}
