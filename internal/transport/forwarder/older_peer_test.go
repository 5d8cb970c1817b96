package forwarder

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/diverter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// olderPeer relays as builds did that knew neither merged replies nor calls within the availability zone: it ignores the field that asks to merge.
type olderPeer struct {
	relayService
}

func (p *olderPeer) Relay(ctx context.Context, request *connect.Request[wire.RelayRequest], stream *connect.ServerStream[wire.RelayResponse]) error {
	request.Msg.Merge = false
	return p.relayService.Relay(ctx, request, stream)
}

// TestOlderPeerRelays checks that a peer of an older build, which sends the records of each part, relays for an instance of this one.
func TestOlderPeerRelays(t *testing.T) {
	rf := newRelayFixture(t)
	rf.disableRepeats()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewRelayServiceHandler(&olderPeer{
		relayService: relayService{
			forwarder: rf.far,
		},
	}, listener.CompressLargeReplies()))
	server := httptest.NewServer(mux)
	defer server.Close()
	rf.setPeer(server.Listener.Addr().String())
	rf.requireCompleteAnswer(t)
	d := rf.serve(t)
	var bodies, parts [][]byte
	for _, reply := range d.Replies {
		bodies = append(bodies, reply.Body)
		parts = append(parts, recordsOf(reply.Stamp))
		if len(reply.Body) != rf.route.TopK*merger.RecordSize {
			t.Errorf("%d bytes of %s, want the records of the part", len(reply.Body), reply.Stamp)
		}
	}
	if got, want := merger.TopRecords(bodies, rf.route.TopK), merger.TopRecords(parts, rf.route.TopK); !bytes.Equal(got, want) {
		t.Errorf("records %q, want %q", got, want)
	}
	if rf.near.exchanger.OpenConnections() > 0 {
		t.Error("the attempts were sent directly")
	}
}

// TestOlderPeerAsks checks that an instance of an older build, which does not ask to merge, gets the records of each part.
func TestOlderPeerAsks(t *testing.T) {
	rf := newRelayFixture(t)
	request := &wire.RelayRequest{
		RequestId: "1",
		Method:    http.MethodGet,
		Host:      "a.example",
		Path:      "/all/1?q",
		Headers: []*wire.RelayHeader{{
			Name:   "Kept",
			Values: []string{"yes"},
		}},
		StopUs:  1_000_000,
		FlushUs: 1000,
		TopK:    2,
	}
	for i := range relayShards {
		request.Items = append(request.Items, &wire.RelayItem{
			Number:  uint32(i),
			Replica: shardName(i) + "-0",
		})
	}
	stream, err := rf.near.peers.relayClient(rf.far.peers.server.Address()).Relay(t.Context(), connect.NewRequest(request))
	if err != nil {
		t.Fatal(err)
	}
	received := 0
	for stream.Receive() {
		if stream.Msg().Merged != nil {
			t.Error("merged without being asked")
		}
		for _, part := range stream.Msg().GetParts() {
			received++
			if scatterer.OutcomeKind(part.GetOutcome()) != scatterer.OutcomeReplied || len(part.GetBody()) != 2*merger.RecordSize {
				t.Errorf("part %d: outcome %d, %d bytes", part.GetNumber(), part.GetOutcome(), len(part.GetBody()))
			}
		}
	}
	if err := stream.Err(); err != nil || received != relayShards {
		t.Errorf("%d of %d parts, %v", received, relayShards, err)
	}
}

// TestOlderPeerRelaysFailure guards against a status that a peer of an older build passes on, and that is none, or promises after a run that the request has not run.
func TestOlderPeerRelaysFailure(t *testing.T) {
	f := newTestForwarder(t, "entry", "a")
	for _, isIdempotent := range []bool{false, true} {
		v := &diversion{
			forwarder: f,
			call:      &exchanger.Call{},
			request: scatterer.Request{
				Route: &matcher.Route{
					Idempotent: isIdempotent,
				},
			},
			tried: []*diverter.Peer{{}},
		}
		for _, status := range []uint32{0, 99, 101, 408, 421, 429, 500, 503, 600, 1 << 31} {
			isStatus := status == 500 || status >= 408 && status <= 503
			promisesNoRun := status != 500
			got := v.newAnswer(&wire.DivertResponse{
				Kind: uint32(scatterer.Relayed),
				Replies: []*wire.DivertReply{{
					Status: status,
				}},
			}).Decision
			if isRelayed := got.Kind == scatterer.Relayed; isRelayed != (isStatus && (isIdempotent || !promisesNoRun)) {
				t.Errorf("%d, idempotent %t: %s", status, isIdempotent, got.Kind)
			}
		}
	}
}
