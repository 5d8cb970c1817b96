package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/diverter"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxDiversions is how many peers are asked to answer one request. Most may be isolated as well; these say so within a round trip.
	maxDiversions = 6
	// minDiversionTimeout is the shortest time for which a peer is waited for.
	minDiversionTimeout = 300 * time.Millisecond
	// diversionHop is the time of the message to the peer, by which the request is older when it arrives there.
	diversionHop = time.Millisecond
)

// diversion is a request that peers answer in place of this instance.
type diversion struct {
	forwarder *Forwarder
	call      *exchanger.Call
	request   scatterer.Request
	version   uint64
	// runs is how many replicas of each service may have run the request.
	runs map[string]int
	// tried holds the peers that have been asked.
	tried []*diverter.Peer
}

// run asks peers until one answers. It returns nil if none has taken the request or reached a replica, or if the request can't be sent to peers.
func (v *diversion) run(ctx context.Context) *Answer {
	if !isEncodable(v.call) {
		return nil
	}
	for range maxDiversions {
		peer := v.choosePeer()
		if peer == nil {
			return nil
		}
		response, err := v.ask(ctx, peer)
		v.recordResult(ctx, peer, err)
		switch {
		case err == nil && scatterer.Reason(response.GetReason()) == scatterer.ReasonNoReplica:
			continue
		case err == nil:
			return v.newAnswer(response)
		case ctx.Err() != nil:
			return v.newFailure(scatterer.ReasonCallerGone)
		case !isUnsent(err):
			// The peer may have sent the request to as many replicas as the route allows.
			return v.newFailure(scatterer.ReasonPeerFailed)
		}
	}
	return nil
}

func (v *diversion) choosePeer() *diverter.Peer {
	f := v.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// A diverted request carries its body, which may go to home regions only.
	peer := f.diverter.ChooseAmong(time.Now(), v.tried, func(p *diverter.Peer) bool {
		return v.request.AllowsRegion(f.policies.ZoneRegions[p.Zone])
	})
	if peer != nil {
		v.tried = append(v.tried, peer)
	}
	return peer
}

// ask sends the request to a peer, and waits for the answer until this instance ends at most. A request that may run more than once does not wait for the peer until its deadline, since its caller may still get an answer at the next try.
func (v *diversion) ask(ctx context.Context, peer *diverter.Peer) (*wire.DivertResponse, error) {
	now := time.Now()
	deadline := now.Add(v.request.Route.Timeout)
	if !v.request.Deadline.IsZero() && v.request.Deadline.Before(deadline) {
		deadline = v.request.Deadline
	}
	if v.request.Route.Idempotent {
		if timeout := max(2*v.request.Route.TargetLatency, minDiversionTimeout); now.Add(timeout).Before(deadline) {
			deadline = now.Add(timeout)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer context.AfterFunc(v.forwarder.ending.ctx, cancel)()
	response, err := v.forwarder.peers.relayClient(peer.Address).Divert(ctx, connect.NewRequest(v.newRequest(now)))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (v *diversion) newRequest(now time.Time) *wire.DivertRequest {
	request := &wire.DivertRequest{
		RequestId: v.call.ID,
		Method:    v.call.Method,
		Host:      v.call.Host,
		Path:      v.call.Path,
		Caller:    v.call.Caller,
		Headers:   headersToWire(v.call.Header),
		Body:      v.call.Body,
		ElapsedUs: uint64(max(0, now.Sub(v.request.ArrivedAt)).Microseconds()),
		Version:   v.version,
	}
	if !v.request.Deadline.IsZero() {
		request.DeadlineUs = uint64(max(time.Microsecond, v.request.Deadline.Sub(now)).Microseconds())
	}
	for service, runs := range v.runs {
		request.Runs = append(request.Runs, &wire.ServiceRuns{
			Service: service,
			Runs:    uint32(runs),
		})
	}
	return request
}

// recordResult updates the peer's state. A caller that has disconnected says nothing about the peer.
func (v *diversion) recordResult(ctx context.Context, peer *diverter.Peer, err error) {
	f := v.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case err == nil:
		f.diverter.RecordAnswer(peer)
	case ctx.Err() == nil:
		f.diverter.RecordFailure(time.Now(), peer)
		f.log.Info("peer did not answer a diverted request", "request", loggedID(v.call.ID), "peer", peer.Instance, "cause", err.Error())
	}
}

// newAnswer returns the answer that a peer has given.
func (v *diversion) newAnswer(response *wire.DivertResponse) *Answer {
	d := scatterer.Decision{
		Kind:          scatterer.DecisionKind(response.GetKind()),
		Reason:        scatterer.Reason(response.GetReason()),
		MissingShards: int(response.GetMissingShards()),
		RetryAfter:    time.Duration(response.GetRetryAfterUs()) * time.Microsecond,
	}
	for _, reply := range response.GetReplies() {
		d.Replies = append(d.Replies, replyFromWire(reply))
	}
	// Peers of an earlier version relay each reply.
	if d.Kind == scatterer.Relayed && (len(d.Replies) == 0 || !v.request.CanRelay(d.Replies[0])) {
		return v.newFailure(scatterer.ReasonReplicaFailed)
	}
	route := *v.request.Route
	route.TopK = int(response.GetTopK())
	v.recordDecision(&d)
	return &Answer{
		Decision: d,
		Route:    &route,
	}
}

// newFailure returns the answer to a request that may have run at a peer.
func (v *diversion) newFailure(reason scatterer.Reason) *Answer {
	d := scatterer.Decision{
		Kind:       scatterer.Failed,
		Reason:     reason,
		RetryAfter: scatterer.RetryAfterFailure,
	}
	v.recordDecision(&d)
	return &Answer{
		Decision: d,
		Route:    v.request.Route,
	}
}

// recordDecision counts and logs the answer. The peer reports it to control.
func (v *diversion) recordDecision(d *scatterer.Decision) {
	f := v.forwarder
	f.meter.recordDiversion(d.Kind)
	f.mutex.Lock()
	if d.Reason != scatterer.ReasonCallerGone {
		f.advertiser.Observe(time.Now(), d.Kind == scatterer.Relayed || d.Kind == scatterer.Gathered)
	}
	f.mutex.Unlock()
	if !shouldLog(v.call, d) {
		return
	}
	entry := newRequestEntry(v.call, v.request, d)
	entry.configVersion = v.version
	entry.latency = time.Since(v.request.ArrivedAt)
	entry.divertedTo = v.tried[len(v.tried)-1].Instance
	f.requestLog.add(entry)
}

// isEncodable reports whether the request can be part of a message between instances, whose text is UTF-8. A header field may have another encoding.
func isEncodable(call *exchanger.Call) bool {
	for name, values := range call.Header {
		if !utf8.ValidString(name) || slices.ContainsFunc(values, isNotUTF8) {
			return false
		}
	}
	return !slices.ContainsFunc([]string{call.ID, call.Method, call.Host, call.Path}, isNotUTF8)
}

func isNotUTF8(text string) bool { return !utf8.ValidString(text) }

func headersToWire(header http.Header) []*wire.RelayHeader {
	var list []*wire.RelayHeader
	for name, values := range header {
		list = append(list, &wire.RelayHeader{
			Name:   name,
			Values: values,
		})
	}
	return list
}

func headersFromWire(list []*wire.RelayHeader) http.Header {
	header := http.Header{}
	for _, field := range list {
		header[field.GetName()] = field.GetValues()
	}
	return header
}

func replyFromWire(message *wire.DivertReply) *scatterer.Reply {
	reply := &scatterer.Reply{
		Status: int(message.GetStatus()),
		Stamp:  message.GetStamp(),
		Body:   message.GetBody(),
	}
	for _, field := range message.GetFields() {
		for _, value := range field.GetValues() {
			reply.Fields = append(reply.Fields, scatterer.HeaderField{
				Name:  field.GetName(),
				Value: value,
			})
		}
	}
	return reply
}
