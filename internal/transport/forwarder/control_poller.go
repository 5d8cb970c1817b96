package forwarder

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// controlPoller polls one control instance for updates.
type controlPoller struct {
	directory *directory
	address   string
	// client accepts no compressed responses, since a whole state is compressed already and would be compressed again for each call. documents accepts them.
	client    wireconnect.FleetServiceClient
	documents wireconnect.FleetServiceClient
	// isReached reports whether the last call succeeded, and rosterDigest is the digest in the last applied response.
	isReached    bool
	rosterDigest uint64
	wakeup       chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
}

func newControlPoller(d *directory, address string) *controlPoller {
	client := listener.NewClient()
	p := &controlPoller{
		directory: d,
		address:   address,
		client:    wireconnect.NewFleetServiceClient(client, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)),
		documents: wireconnect.NewFleetServiceClient(client, "http://"+address),
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

// run polls the control instance once the first state has been received; until then the state fetcher calls it.
func (p *controlPoller) run() {
	defer close(p.done)
	select {
	case <-p.directory.initializedSignal:
	case <-p.ctx.Done():
		return
	}
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
	response, packed, err := p.follow(d.newFollowRequest(holdDuration, p.rosterDigest))
	if err != nil {
		return err
	}
	d.recordAnswer(p.address, response.GetConfirmed())
	return p.apply(response, packed)
}

// follow calls the control instance for what has changed.
func (p *controlPoller) follow(request *wire.FollowRequest) (*wire.FollowResponse, *packer.Packed, error) {
	holdDuration := time.Duration(request.GetHoldMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(p.ctx, holdDuration+followTimeout)
	if !request.GetHeard() {
		cancel()
		ctx, cancel = withAnswerTimeout(p.ctx, p.directory.fetcher.answerTimeout)
	}
	defer cancel()
	response, err := p.client.Follow(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, nil, err
	}
	packed, err := packer.Expand(response.Msg)
	return response.Msg, packed, err
}

// apply applies a response, and then a newer configuration if there is one, whose replicas are known by then. Until the directory is initialized, an unconfirmed state is held without being served with, unless acceptUnconfirmed allows it: the next response then needs to contain the changes only.
func (p *controlPoller) apply(response *wire.FollowResponse, packed *packer.Packed) error {
	d := p.directory
	defer d.keepPacked(packed)
	if !d.isInitialized() && !response.GetConfirmed() && !d.acceptUnconfirmed(p.address) {
		p.rosterDigest = response.GetRoster()
		d.apply(response)
		return nil
	}
	p.rosterDigest = response.GetRoster()
	d.apply(response)
	if response.GetVersion() > d.currentVersion() {
		if err := p.fetchConfig(response.GetVersion()); err != nil {
			return err
		}
	}
	d.markInitialized(p.address)
	return nil
}

// fetchConfig fetches the control instance's configuration and makes it the current one unless one that is at least as new has been received meanwhile. If it is newer than the version of the last response, the replicas that it names may have been announced since and are fetched first.
func (p *controlPoller) fetchConfig(respondedVersion uint64) error {
	d := p.directory
	ctx, cancel := context.WithTimeout(p.ctx, documentTimeout)
	defer cancel()
	document, err := p.documents.Document(ctx, connect.NewRequest(&wire.DocumentRequest{}))
	if err != nil {
		return err
	}
	publication := document.Msg.GetPublication()
	if publication.GetVersion() > respondedVersion {
		response, packed, err := p.follow(d.newFollowRequest(0, p.rosterDigest))
		if err != nil {
			return err
		}
		p.rosterDigest = response.GetRoster()
		d.apply(response)
		d.keepPacked(packed)
	}
	return d.installConfig(publication, p.address)
}

// installConfig makes the publication of a control instance or a peer the current configuration, unless the current one is at least as new.
func (d *directory) installConfig(publication *wire.Publication, from string) error {
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
	d.publication = publication
	d.configReceivedAt = time.Now()
	d.forwarder.routingTable.Store(table)
	d.forwarder.preconnector.noteChange()
	d.forwarder.log.Info("configuration in force", "version", d.configVersion, "before", previous, "routes", len(table.Routes), "from", from)
	return nil
}
