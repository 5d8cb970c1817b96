package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// leastRelayed is how many attempts to one availability zone are worth a call of their own to a peer there.
	leastRelayed = 2
	// flushShare of a route's target latency is what a part may wait for others to be sent with.
	flushShare = 0.08
	// relaySlack is how much longer than its attempts a call may take.
	relaySlack = 40 * time.Millisecond
	// relayLinger is how long a peer goes on with attempts whose call has ended.
	relayLinger = 50 * time.Millisecond
)

// relays calls entry instances of other availability zones; the forwarder's mutex guards the relayer.
type relays struct {
	forwarder *Forwarder
	relayer   *relayer.Relayer
	// neighbours is how many entry instances the own availability zone has, this one included.
	neighbours atomic.Int64
	// calls counts those of other instances that were carried here.
	calls   atomic.Int64
	counter *limiter.Sharers
	client  *http.Client
	server  *listener.Server
}

func newRelays(f *Forwarder) *relays {
	r := &relays{
		forwarder: f,
		relayer:   relayer.New(f.settings.Instance, f.settings.Zone),
		counter:   limiter.NewSharers(assumedConnectors),
		client:    listener.NewClient(),
	}
	r.neighbours.Store(assumedConnectors)
	return r
}

// listen serves peers, where the settings name an address for them.
func (r *relays) listen() error {
	address := r.forwarder.settings.ListenPeers
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewRelayServiceHandler(&relayService{
		forwarder: r.forwarder,
	}, listener.Plain()))
	var err error
	r.server, err = listener.New(address, mux)
	return err
}

func (r *relays) close() {
	if r.server != nil {
		r.server.Close()
	}
	r.client.CloseIdleConnections()
}

func (r *relays) clientOf(address string) wireconnect.RelayServiceClient {
	return wireconnect.NewRelayServiceClient(r.client, "http://"+address)
}

// warm opens the connection to a peer by a call without attempts.
func (r *relays) warm(ctx context.Context, address string) error {
	stream, err := r.clientOf(address).Relay(ctx, connect.NewRequest(&wire.RelayRequest{}))
	if err != nil {
		return err
	}
	for stream.Receive() {
	}
	return errors.Join(stream.Err(), stream.Close())
}

// update takes the entry instances that follow control.
func (r *relays) update(entries []*wire.EntryInstance) {
	var list []relayer.Peer
	neighbours := 0
	for _, entry := range entries {
		if entry.GetZone() == r.forwarder.zone {
			neighbours++
		}
		list = append(list, relayer.Peer{
			Instance: entry.GetInstance(),
			Zone:     entry.GetZone(),
			Address:  entry.GetAddress(),
		})
	}
	r.neighbours.Store(int64(r.counter.Hear(time.Now(), neighbours)))
	f := r.forwarder
	f.mutex.Lock()
	before := r.relayer.Preferred()
	r.relayer.Update(list)
	preferred := r.relayer.Preferred()
	f.mutex.Unlock()
	for _, peer := range preferred {
		if !slices.Contains(before, peer) {
			f.warmer.addPeer(peer.Address)
		}
	}
}

// groupKey is what the attempts of one call to a peer have in common.
type groupKey struct {
	zone     string
	deadline time.Time
	// first says that they are first attempts.
	first bool
}

// divide takes out of the sends those that peers are to carry, and returns the rest; the mutex is held.
func (r *run) divide(now time.Time, sends []*scatterer.Attempt) []*scatterer.Attempt {
	f := r.forwarder
	if !r.request.Route.IsGathered() || f.settings.ListenPeers == "" {
		return sends
	}
	groups := map[groupKey][]*scatterer.Attempt{}
	var direct []*scatterer.Attempt
	for _, a := range sends {
		key := groupKey{
			zone:     a.Replica.Zone,
			deadline: a.Deadline,
			first:    a.Kind == scatterer.AttemptFirst,
		}
		if key.zone != f.zone && (key.first || f.reach(a.Service).Far == 0) {
			groups[key] = append(groups[key], a)
		} else {
			direct = append(direct, a)
		}
	}
	for key, group := range groups {
		peer := f.relays.relayer.Choose(now, key.zone, r.passedOver())
		if peer == nil || r.isUnsentBy(peer) || len(group) < leastRelayed && f.reach(group[0].Service).Far > 0 {
			direct = append(direct, group...)
			continue
		}
		r.relay(now, peer, group)
	}
	return direct
}

// passedOver returns the peers that have not answered for any attempt of this request yet, or have not sent one, so that its repeats go through others.
func (r *run) passedOver() []*relayer.Peer {
	var list []*relayer.Peer
	for _, g := range r.relayed {
		if !g.heard || g.unsent {
			list = append(list, g.peer)
		}
	}
	return list
}

// isUnsentBy reports whether the peer has not sent an attempt of this request that it was to carry.
func (r *run) isUnsentBy(peer *relayer.Peer) bool {
	return slices.ContainsFunc(r.relayed, func(g *relayRun) bool { return g.peer == peer && g.unsent })
}

// relay has a peer carry a group of attempts; the mutex is held.
func (r *run) relay(now time.Time, peer *relayer.Peer, group []*scatterer.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), group[0].Deadline.Add(relaySlack))
	g := &relayRun{
		owner:   r,
		peer:    peer,
		began:   now,
		ctx:     ctx,
		cancel:  cancel,
		pending: group,
	}
	r.forwarder.relays.relayer.Began(now, peer)
	r.relayed = append(r.relayed, g)
	go g.run()
}

// relayRun is one call to a peer under way.
type relayRun struct {
	owner  *run
	peer   *relayer.Peer
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	heard  bool
	given  bool
	// unsent says that the peer did not send an attempt, as one that does not know its replica.
	unsent  bool
	pending []*scatterer.Attempt
}

// shorten ends the call after the time, since nobody waits for it any more.
func (g *relayRun) shorten(linger time.Duration) {
	g.given = true
	time.AfterFunc(linger, g.cancel)
}

func (g *relayRun) run() {
	defer g.cancel()
	f := g.owner.forwarder
	stream, err := f.relays.clientOf(g.peer.Address).Relay(g.ctx, connect.NewRequest(g.request()))
	if err == nil {
		for stream.Receive() {
			g.take(stream.Msg().GetParts())
		}
		err = stream.Err()
		_ = stream.Close()
	}
	g.end(err)
}

func (g *relayRun) request() *wire.RelayRequest {
	r := g.owner
	route := r.request.Route
	request := &wire.RelayRequest{
		RequestId: r.call.ID,
		Method:    r.call.Method,
		Host:      r.call.Host,
		Path:      r.call.Path,
		StopUs:    uint64(max(0, time.Until(g.pending[0].Deadline)).Microseconds()),
		FlushUs:   uint64(flushShare * float64(route.Target.Microseconds())),
		TopK:      uint32(route.TopK),
	}
	for name, values := range r.call.Header {
		request.Headers = append(request.Headers, &wire.RelayHeader{
			Name:   name,
			Values: values,
		})
	}
	for i, a := range g.pending {
		request.Items = append(request.Items, &wire.RelayItem{
			Number:  uint32(i),
			Replica: a.Replica.ID,
		})
	}
	return request
}

// take hands the ends of attempts on.
func (g *relayRun) take(parts []*wire.RelayPart) {
	f := g.owner.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !g.heard {
		g.heard = true
		f.relays.relayer.Heard(g.peer, g.began)
	}
	now := time.Now()
	var sends []*scatterer.Attempt
	for _, part := range parts {
		number := int(part.GetNumber())
		if number >= len(g.pending) || g.pending[number] == nil {
			continue
		}
		a := g.pending[number]
		g.pending[number] = nil
		outcome := relayedOutcome(part)
		g.unsent = g.unsent || outcome.Cause == scatterer.CausePeer
		sends = append(sends, g.owner.ended(now, a, outcome)...)
	}
	g.owner.goOn(now, sends)
}

// end ends the attempts of which nothing was heard.
func (g *relayRun) end(err error) {
	f := g.owner.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	outcome := scatterer.Outcome{
		Kind:  scatterer.OutcomeBroken,
		Cause: scatterer.CausePeer,
	}
	if isUnsent(err) {
		outcome.Kind = scatterer.OutcomeUnsent
		g.unsent = true
	}
	switch {
	case g.heard:
	case g.given:
		f.relays.relayer.Ended(time.Now(), g.peer, g.began)
	default:
		f.relays.relayer.Failed(time.Now(), g.peer, g.began)
		f.log.Info("peer did not carry attempts", "request", g.owner.call.ID, "peer", g.peer.Instance, "attempts", len(g.pending), "cause", errorText(err))
	}
	if g.given {
		outcome.Cause = scatterer.CauseGivenUp
	}
	now := time.Now()
	var sends []*scatterer.Attempt
	for _, a := range g.pending {
		if a != nil {
			sends = append(sends, g.owner.ended(now, a, outcome)...)
		}
	}
	g.owner.goOn(now, sends)
}

// isUnsent reports whether the error proves that the peer was not reached, or has sent nothing since it is ending.
func isUnsent(err error) bool {
	var op *net.OpError
	return connect.CodeOf(err) == connect.CodeFailedPrecondition || errors.As(err, &op) && op.Op == "dial"
}

func errorText(err error) string {
	if err == nil {
		return "call ended without a word"
	}
	return err.Error()
}

func relayedOutcome(part *wire.RelayPart) scatterer.Outcome {
	outcome := scatterer.Outcome{
		Kind:  scatterer.OutcomeKind(part.GetOutcome()),
		Cause: part.GetCause(),
	}
	if outcome.Kind == scatterer.OutcomeReplied {
		outcome.Reply = &scatterer.Reply{
			Status: int(part.GetStatus()),
			Stamp:  part.GetStamp(),
			Body:   part.GetBody(),
		}
	}
	return outcome
}

// callOf returns what a peer asks to be sent.
func callOf(request *wire.RelayRequest) *exchanger.Call {
	call := &exchanger.Call{
		ID:     request.GetRequestId(),
		Method: request.GetMethod(),
		Host:   request.GetHost(),
		Path:   request.GetPath(),
		Header: http.Header{},
	}
	for _, header := range request.GetHeaders() {
		call.Header[header.GetName()] = header.GetValues()
	}
	return call
}
