package forwarder

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// follower follows one control instance.
type follower struct {
	directory *directory
	address   string
	client    wireconnect.FleetServiceClient
	// reached and roster are how the last call went, and the digest that it told.
	reached bool
	roster  uint64
	woken   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

func newFollower(d *directory, address string) *follower {
	fo := &follower{
		directory: d,
		address:   address,
		client:    wireconnect.NewFleetServiceClient(listener.NewClient(), "http://"+address),
		woken:     make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	fo.ctx, fo.cancel = context.WithCancel(context.Background())
	return fo
}

// wake ends a pause.
func (fo *follower) wake() {
	select {
	case fo.woken <- struct{}{}:
	default:
	}
}

func (fo *follower) run() {
	defer close(fo.done)
	for fo.ctx.Err() == nil {
		call := fo.directory.next(fo.address)
		fo.pause(call.Delay)
		err := fo.round(call.LongPoll)
		fo.note(err)
	}
}

// pause waits, but for no longer than until the one that brings the news is lost.
func (fo *follower) pause(length time.Duration) {
	if length == 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-fo.woken:
	case <-fo.ctx.Done():
	}
}

// note writes a line when the control instance is lost or reached again.
func (fo *follower) note(err error) {
	log := fo.directory.forwarder.log
	if err != nil && fo.ctx.Err() == nil {
		fo.directory.failed(fo.address)
	}
	switch {
	case err == nil && !fo.reached:
		fo.reached = true
		log.Info("control instance reached", "control", fo.address)
	case err != nil && fo.reached && fo.ctx.Err() == nil:
		fo.reached = false
		log.Info("control instance lost", "control", fo.address, "cause", err.Error())
	}
}

func (fo *follower) round(held bool) error {
	d := fo.directory
	hold := time.Duration(0)
	if held {
		hold = followHold
	}
	ctx, cancel := context.WithTimeout(fo.ctx, hold+followLimit)
	defer cancel()
	response, err := fo.client.Follow(ctx, connect.NewRequest(d.asked(hold, fo.roster)))
	if err != nil {
		return err
	}
	d.answered(fo.address, response.Msg.GetConfirmed())
	return fo.take(response.Msg)
}

// take puts in force what is newer; while nothing is known, only from a control instance that may be believed.
func (fo *follower) take(response *wire.FollowResponse) error {
	d := fo.directory
	if !d.isKnown() && !response.GetConfirmed() && !d.mayBelieve(fo.address) {
		fo.pause(believeAgain)
		return nil
	}
	if response.GetVersion() > d.held() {
		if err := fo.fetch(); err != nil {
			return err
		}
	}
	fo.roster = response.GetRoster()
	d.take(response)
	return nil
}

// fetch puts the control instance's configuration in force, unless a newer one came in between.
func (fo *follower) fetch() error {
	d := fo.directory
	ctx, cancel := context.WithTimeout(fo.ctx, documentLimit)
	defer cancel()
	response, err := fo.client.Document(ctx, connect.NewRequest(&wire.DocumentRequest{}))
	if err != nil {
		return err
	}
	publication := response.Msg.GetPublication()
	book, err := d.forwarder.protocol.Decode(publication.GetDocument())
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if publication.GetVersion() <= d.version {
		return nil
	}
	before := d.version
	d.version = publication.GetVersion()
	d.versionAt = time.Now()
	d.forwarder.book.Store(book)
	d.forwarder.log.Info("configuration in force", "version", d.version, "before", before, "routes", len(book.Routes), "from", fo.address)
	return nil
}
