package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// relays calls entry instances of other availability zones; the forwarder's mutex guards the relayer.
type relays struct {
	forwarder *Forwarder
	relayer   *relayer.Relayer
	// neighbours is how many entry instances the own availability zone has, this one included.
	neighbours atomic.Int64
	// calls counts those of other instances that were carried here.
	calls   atomic.Int64
	counter *limiter.InstanceCount
	client  *http.Client
	server  *listener.Server
}

func newRelays(f *Forwarder) *relays {
	r := &relays{
		forwarder: f,
		relayer:   relayer.New(f.settings.Instance, f.settings.Zone),
		counter:   limiter.NewInstanceCount(assumedConnectors),
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
	}, listener.CompressLargeReplies()))
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
	r.neighbours.Store(int64(r.counter.Update(time.Now(), neighbours)))
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
