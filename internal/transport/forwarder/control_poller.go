package forwarder

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// controlPoller polls one control instance for updates.
type controlPoller struct {
	directory *directory
	address   string
	client    wireconnect.FleetServiceClient
	// isReached reports whether the last call succeeded, and rosterDigest is the digest in the last applied response.
	isReached    bool
	rosterDigest uint64
	wakeup       chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
}

func newControlPoller(d *directory, address string) *controlPoller {
	p := &controlPoller{
		directory: d,
		address:   address,
		client:    wireconnect.NewFleetServiceClient(listener.NewClient(), "http://"+address),
		wakeup:    make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// wake ends a wait early.
func (p *controlPoller) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

func (p *controlPoller) run() {
	defer close(p.done)
	for p.ctx.Err() == nil {
		call := p.directory.nextCall(p.address)
		p.wait(call.Delay)
		err := p.poll(call.LongPoll)
		p.recordResult(err)
	}
}

// wait waits for the delay, or until the primary fails or the poller is cancelled.
func (p *controlPoller) wait(delay time.Duration) {
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wakeup:
	case <-p.ctx.Done():
	}
}

// recordResult records a failed call and logs when the control instance is lost or reached again.
func (p *controlPoller) recordResult(err error) {
	log := p.directory.forwarder.log
	if err != nil && p.ctx.Err() == nil {
		p.directory.recordFailure(p.address)
	}
	switch {
	case err == nil && !p.isReached:
		p.isReached = true
		log.Info("control instance reached", "control", p.address)
	case err != nil && p.isReached && p.ctx.Err() == nil:
		p.isReached = false
		log.Info("control instance lost", "control", p.address, "cause", err.Error())
	}
}

func (p *controlPoller) poll(longPoll bool) error {
	d := p.directory
	holdDuration := time.Duration(0)
	if longPoll {
		holdDuration = longPollDuration
	}
	ctx, cancel := context.WithTimeout(p.ctx, holdDuration+followTimeout)
	defer cancel()
	response, err := p.client.Follow(ctx, connect.NewRequest(d.newFollowRequest(holdDuration, p.rosterDigest)))
	if err != nil {
		return err
	}
	d.recordAnswer(p.address, response.Msg.GetConfirmed())
	return p.apply(response.Msg)
}

// apply applies a response, after fetching a newer configuration if there is one. Until the directory is initialized, an unconfirmed response is ignored unless acceptUnconfirmed allows it.
func (p *controlPoller) apply(response *wire.FollowResponse) error {
	d := p.directory
	if !d.isInitialized() && !response.GetConfirmed() && !d.acceptUnconfirmed(p.address) {
		p.wait(unconfirmedRetryDelay)
		return nil
	}
	if response.GetVersion() > d.currentVersion() {
		if err := p.fetchConfig(); err != nil {
			return err
		}
	}
	p.rosterDigest = response.GetRoster()
	d.apply(response)
	return nil
}

// fetchConfig fetches the control instance's configuration and makes it the current one unless one that is at least as new has been received meanwhile.
func (p *controlPoller) fetchConfig() error {
	d := p.directory
	ctx, cancel := context.WithTimeout(p.ctx, documentTimeout)
	defer cancel()
	response, err := p.client.Document(ctx, connect.NewRequest(&wire.DocumentRequest{}))
	if err != nil {
		return err
	}
	publication := response.Msg.GetPublication()
	table, err := d.forwarder.protocol.DecodeDocument(publication.GetDocument())
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if publication.GetVersion() <= d.configVersion {
		return nil
	}
	previous := d.configVersion
	d.configVersion = publication.GetVersion()
	d.configReceivedAt = time.Now()
	d.forwarder.routingTable.Store(table)
	d.forwarder.preconnector.noteChange()
	d.forwarder.log.Info("configuration in force", "version", d.configVersion, "before", previous, "routes", len(table.Routes), "from", p.address)
	return nil
}
