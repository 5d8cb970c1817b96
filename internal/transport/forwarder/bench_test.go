package forwarder

import (
	"fmt"
	"runtime"
	"testing"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// BenchmarkRelayCall measures a call for 30 attempts that the peer leaves unsent, both ends together, by HTTP/1.1 as used and by HTTP/2.
func BenchmarkRelayCall(b *testing.B) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
		b.Run(protocol, func(b *testing.B) {
			near := newTestForwarder(b, "near", "a")
			far := newTestForwarder(b, "far", "b")
			if protocol == "HTTP/2" {
				near.peers.client = listener.NewClient()
			}
			client := near.peers.relayClient(far.peers.server.Address())
			request := &wire.RelayRequest{
				RequestId: "1",
				Method:    "GET",
				Path:      "/all/1",
				StopUs:    1_000_000,
				FlushUs:   1000,
				TopK:      10,
				Merge:     true,
			}
			for i := range 30 {
				request.Items = append(request.Items, &wire.RelayItem{
					Number:  uint32(i),
					Replica: shardName(i),
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				relayOnce(b, client, request)
			}
		})
	}
}

func relayOnce(b *testing.B, client wireconnect.RelayServiceClient, request *wire.RelayRequest) {
	b.Helper()
	stream, err := client.Relay(b.Context(), connect.NewRequest(request))
	if err != nil {
		b.Fatal(err)
	}
	for stream.Receive() {
	}
	if err := stream.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkCollection measures one collection of an instance that knows 1,350 replicas.
func BenchmarkCollection(b *testing.B) {
	f := newTestForwarder(b, "entry-1", "a")
	for i := range 1350 {
		f.putReplica(balancer.Replica{
			ID:      fmt.Sprintf("replica-%d", i),
			Service: shardName(i / 3),
			Zone:    "b",
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		runtime.GC()
	}
}
