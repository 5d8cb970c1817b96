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
	joinPeriod  = 200 * time.Millisecond
	joinTimeout = 500 * time.Millisecond
	// askAgainAfter is how long a member goes without a leader before it asks whether it still is one: longer than an election.
	askAgainAfter = 3 * time.Second
)

// joiner asks the control instances of the settings to be joined, until this one has a vote.
type joiner struct {
	controller *Controller
	reason     string
	done       chan struct{}

	mutex sync.Mutex
	// seeds are where the settings say that control instances are.
	seeds []string
}

func newJoiner(c *Controller) *joiner {
	return &joiner{
		controller: c,
		done:       make(chan struct{}),
		seeds:      c.settings.Others(),
	}
}

func (j *joiner) reseed(seeds []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seeds = seeds
}

func (j *joiner) run() {
	defer close(j.done)
	ticker := time.NewTicker(joinPeriod)
	defer ticker.Stop()
	alone := time.Now()
	for {
		joined, contact := j.standing()
		if contact {
			alone = time.Now()
		}
		if joined && j.controller.settings.Formation == nil {
			return
		}
		// A member that another has replaced while it was cut off hears of that from nobody, so it asks again.
		if !joined || time.Since(alone) > askAgainAfter {
			j.askAll()
		}
		select {
		case <-ticker.C:
		case <-j.controller.done:
			return
		}
	}
}

// standing reports whether this instance has a vote by its own journal, and whether it is in contact with a leader.
func (j *joiner) standing() (bool, bool) {
	var joined, contact bool
	_ = j.controller.ask(context.Background(), func(now time.Time) {
		own := j.controller.machine.Members().Find(j.controller.id)
		// A founder's zone is known to itself alone until it has joined once.
		joined = j.controller.machine.HasJoined() && (j.controller.settings.Formation == nil || own.GetZone() == j.controller.settings.Zone)
		contact = j.controller.machine.InContact(now)
	})
	return joined, contact
}

func (j *joiner) askAll() {
	settings := j.controller.settings
	member := &wire.ControlMember{
		Id:      j.controller.id,
		Address: settings.Advertised(),
		Zone:    settings.Zone,
	}
	asked := map[string]bool{}
	// The list grows while it is gone through: the leader need not be among those known at first.
	for list := j.others(); len(list) > 0; list = list[1:] {
		if asked[list[0]] {
			continue
		}
		asked[list[0]] = true
		joining, leader := j.ask(list[0], member)
		if joining {
			return
		}
		if leader != "" {
			list = append(list, leader)
		}
	}
}

// others returns where control instances may be: those of the settings, and those that the journal or another instance has named.
func (j *joiner) others() []string {
	own := j.controller.settings.Advertised()
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

// ask asks one instance, and reports whether it leads and has taken the request, and else the leader that it names.
func (j *joiner) ask(address string, member *wire.ControlMember) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	client := wireconnect.NewJournalServiceClient(j.controller.client, "http://"+address)
	response, err := client.Join(ctx, connect.NewRequest(&wire.JoinRequest{
		Member: member,
	}))
	if err != nil {
		j.explain(address, err)
		return false, listener.DetailOf[*wire.NotLeader](err).GetLeaderAddress()
	}
	j.controller.addresses.learn(response.Msg.GetMembers())
	return true, ""
}

// explain logs why this instance is not joined, once a reason.
func (j *joiner) explain(address string, err error) {
	if connect.CodeOf(err) != connect.CodePermissionDenied || err.Error() == j.reason {
		return
	}
	j.reason = err.Error()
	j.controller.log.Info("not joined", "asked", address, "reason", j.reason)
}

// Join takes the next step by which an instance without a vote is joined.
func (s *journalService) Join(ctx context.Context, request *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	c := s.controller
	response := &wire.JoinResponse{}
	var refused error
	err := c.ask(ctx, func(now time.Time) {
		refused = c.machine.Join(now, request.Msg.GetMember())
		response.Members = c.machine.Members()
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return nil, c.refusal(err)
	}
	return connect.NewResponse(response), nil
}
