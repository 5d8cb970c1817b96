package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// follower follows one control instance.
type follower struct {
	directory *directory
	address   string
	client    wireconnect.FleetServiceClient
	reached   atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

func (fo *follower) run() {
	defer close(fo.done)
	for fo.ctx.Err() == nil {
		err := fo.round()
		fo.note(err)
		if err == nil {
			continue
		}
		select {
		case <-fo.ctx.Done():
		case <-time.After(followAgain):
		}
	}
}

// note writes a line when the control instance is lost or reached again.
func (fo *follower) note(err error) {
	log := fo.directory.forwarder.log
	switch {
	case err == nil && !fo.reached.Load():
		fo.reached.Store(true)
		log.Info("control instance reached", "control", fo.address)
	case err != nil && fo.reached.Load() && fo.ctx.Err() == nil:
		fo.reached.Store(false)
		log.Info("control instance lost", "control", fo.address, "cause", err.Error())
	}
}

func (fo *follower) round() error {
	d := fo.directory
	ctx, cancel := context.WithTimeout(fo.ctx, followLimit)
	defer cancel()
	response, err := fo.client.Follow(ctx, connect.NewRequest(d.asked()))
	if err != nil {
		return err
	}
	return fo.take(response.Msg)
}

// take puts in force what is newer; while nothing is known, only from a control instance that may be believed.
func (fo *follower) take(response *wire.FollowResponse) error {
	d := fo.directory
	if !d.isKnown() && !response.GetConfirmed() && !d.mayBelieve(fo.address) {
		select {
		case <-fo.ctx.Done():
		case <-time.After(followAgain):
		}
		return nil
	}
	if response.GetVersion() > d.held() {
		if err := fo.fetch(); err != nil {
			return err
		}
	}
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
