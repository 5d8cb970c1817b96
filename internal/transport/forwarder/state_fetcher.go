package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// stateTimeout limits a call for the whole state with its transfer: the 1.5 MB of 23,000 replicas take 0.9 s on a link of 14 Mbit/s that is otherwise idle.
	stateTimeout = 3 * time.Second
	// answerTimeout limits the time until a response begins, since a control instance that has lost its machine or its link must not delay a third of its callers. It doubles with each call in a row that ends so, up to maxAnswerTimeout, for control instances of the previous release, which answer late under load.
	answerTimeout    = 300 * time.Millisecond
	maxAnswerTimeout = 1200 * time.Millisecond
	// peerAnswerTimeout is the same limit for a peer, after which another is asked.
	peerAnswerTimeout = 200 * time.Millisecond
	// maxPeerStateCalls is how many of the peers that a refusal names are asked.
	maxPeerStateCalls = 2
	// maxConfirmedAge is the age up to which the confirmation of a peer's state is taken for one of this instance. It is below the time within which a change must be in force everywhere (4 s), less that of the first poll of control.
	maxConfirmedAge = 2 * time.Second
	// noControlDelay is the delay before the control instances are looked up again if none is known.
	noControlDelay = 200 * time.Millisecond
)

// stateFetcher fetches the first state of a new instance. It calls one control instance at a time, or a peer that a refusal names, until the instance holds a state that it may serve with. The pollers start after that.
type stateFetcher struct {
	directory *directory
	// answerTimeout is the current limit of the time until a response of a control instance begins.
	answerTimeout time.Duration
	ctx           context.Context
	cancel        context.CancelFunc
	done          chan struct{}
}

func newStateFetcher(d *directory) *stateFetcher {
	s := &stateFetcher{
		directory:     d,
		answerTimeout: answerTimeout,
		done:          make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *stateFetcher) run() {
	defer close(s.done)
	for !s.directory.isInitialized() {
		s.attempt()
		if s.ctx.Err() != nil {
			return
		}
	}
	close(s.directory.initializedSignal)
}

// attempt makes the next call of a control instance when it is due. If it is refused, peers are asked.
func (s *stateFetcher) attempt() {
	d := s.directory
	address, delay := d.nextStartCall(time.Now())
	if !s.wait(delay) || address == "" {
		return
	}
	poller := d.poller(address)
	if poller == nil {
		return
	}
	err := poller.poll(false)
	refusal := listener.ErrorDetail[*wire.FollowRefusal](err)
	if refusal == nil {
		poller.recordResult(err)
		if err != nil {
			s.answerTimeout = min(2*s.answerTimeout, maxAnswerTimeout)
		}
		return
	}
	s.answerTimeout = answerTimeout
	d.forwarder.meter.stateRefusals.Inc(1)
	d.recordRefusal(address, time.Duration(refusal.GetRetryAfterMs())*time.Millisecond)
	s.askPeers(refusal.GetPeers())
}

// wait waits for the delay and reports whether the instance is still running.
func (s *stateFetcher) wait(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// askPeers asks some of the peers, in random order, until one has sent its state.
func (s *stateFetcher) askPeers(peers []*wire.EntryInstance) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxPeerStateCalls)] {
		err := s.directory.askPeer(s.ctx, peer)
		if err == nil {
			return
		}
		s.directory.forwarder.log.Info("no state from peer", "peer", peer.GetInstance(), "cause", err.Error())
	}
}

// askPeer asks a peer for its state and applies it.
func (d *directory) askPeer(ctx context.Context, peer *wire.EntryInstance) error {
	ctx, cancel := withAnswerTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	// The table is compressed already.
	client := wireconnect.NewRelayServiceClient(d.forwarder.peers.client, "http://"+peer.GetAddress(), connect.WithAcceptCompression("gzip", nil, nil))
	response, err := client.State(ctx, connect.NewRequest(d.newStateRequest()))
	if err != nil {
		return err
	}
	packed, err := packer.Expand(response.Msg.GetState())
	if err != nil {
		return err
	}
	return d.receiveFromPeer(peer.GetInstance(), response.Msg, packed)
}

// withAnswerTimeout returns a context for a call for the state, which ends if the response has not begun within the timeout.
func withAnswerTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	timer := time.AfterFunc(timeout, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { timer.Stop() },
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// nextStartCall returns the control instance to ask next for the first state and the delay before that, without an address if none is known.
func (d *directory) nextStartCall(now time.Time) (string, time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	call, ok := d.subscriber.NextStartCall(now)
	if !ok {
		return "", noControlDelay
	}
	return call.Address, call.Delay
}

// poller returns the poller of the control instance, or nil if it is no longer known.
func (d *directory) poller(address string) *controlPoller {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pollers[address]
}

// recordRefusal records that a control instance has refused to send the whole state.
func (d *directory) recordRefusal(address string, retryAfter time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.subscriber.RecordRefusal(time.Now(), address, retryAfter)
}

func (d *directory) newStateRequest() *wire.StateRequest {
	settings := d.forwarder.currentSettings()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &wire.StateRequest{
		Instance: settings.Instance,
		Since:    d.index,
		Version:  d.configVersion,
	}
}

// recordTablePeer records that the first table comes from a peer, unless there is one already.
func (d *directory) recordTablePeer(peer string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.hasTable {
		d.tablePeer = peer
	}
}

// receiveFromPeer applies the state of a peer. If no quorum has confirmed it recently, the instance serves with it only once it may serve with an unconfirmed response of a single control instance.
func (d *directory) receiveFromPeer(peer string, response *wire.StateResponse, packed *packer.Packed) error {
	age := time.Duration(response.GetConfirmedMsAgo()) * time.Millisecond
	isConfirmed := response.ConfirmedMsAgo != nil && age <= maxConfirmedAge
	if state := response.GetState(); state != nil {
		d.recordTablePeer(peer)
		// The peer's lists of instances may be out of date, so they are not treated as confirmed.
		state.Confirmed = false
		state.Followers = 0
		d.apply(state)
		d.keepPacked(packed)
	}
	if !isConfirmed && time.Since(d.startedAt) < singleUnconfirmedDelay {
		return nil
	}
	if publication := response.GetPublication(); publication != nil {
		if err := d.installConfig(publication, peer); err != nil {
			return err
		}
	}
	if isConfirmed {
		d.recordConfirmation(time.Now().Add(-age))
	}
	d.markInitialized(peer)
	return nil
}
