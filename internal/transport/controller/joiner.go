package controller

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	joinPeriod  = 200 * time.Millisecond
	joinTimeout = 500 * time.Millisecond
)

// joiner asks the control instances of the settings to be joined, until this one has a vote.
type joiner struct {
	controller *Controller
	reason     string
	done       chan struct{}
}

func newJoiner(c *Controller) *joiner {
	return &joiner{
		controller: c,
		done:       make(chan struct{}),
	}
}

func (j *joiner) run() {
	defer close(j.done)
	ticker := time.NewTicker(joinPeriod)
	defer ticker.Stop()
	for !j.joined() {
		j.askAll()
		select {
		case <-ticker.C:
		case <-j.controller.done:
			return
		}
	}
}

func (j *joiner) joined() bool {
	joined := false
	_ = j.controller.ask(context.Background(), func(time.Time) {
		joined = j.controller.machine.Joined()
	})
	return joined
}

func (j *joiner) askAll() {
	settings := j.controller.settings
	member := &wire.ControlMember{
		Id: j.controller.id,
	}
	for _, other := range settings.Members {
		if other.ID == settings.Instance {
			member.Address = other.Address
		}
	}
	for _, other := range settings.Members {
		if other.ID != settings.Instance && j.ask(other.Address, member) {
			return
		}
	}
}

// ask asks one instance, and reports whether it leads and has taken the request.
func (j *joiner) ask(address string, member *wire.ControlMember) bool {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	client := wireconnect.NewJournalServiceClient(j.controller.client, "http://"+address)
	response, err := client.Join(ctx, connect.NewRequest(&wire.JoinRequest{
		Member: member,
	}))
	if err != nil {
		j.explain(address, err)
		return false
	}
	j.controller.addresses.learn(response.Msg.GetMembers())
	return true
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
