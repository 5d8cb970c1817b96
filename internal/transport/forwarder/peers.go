package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/diverter"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// peers connects the instance with entry instances of other availability zones. The forwarder's mutex guards the relayer.
type peers struct {
	forwarder *Forwarder
	relayer   *relayer.Relayer
	// zoneInstances is the number of entry instances in the own availability zone, including this one.
	zoneInstances atomic.Int64
	// incomingCalls counts the calls received from other instances.
	incomingCalls atomic.Int64
	// callsInFlight is the number of those in progress.
	callsInFlight     atomic.Int64
	zoneInstanceCount *limiter.InstanceCount
	client            *http.Client
	server            *listener.Server
}

func newPeers(f *Forwarder) *peers {
	p := &peers{
		forwarder:         f,
		relayer:           relayer.New(f.settings.Instance, f.settings.Zone),
		zoneInstanceCount: limiter.NewInstanceCount(assumedConnectingInstances),
		client:            listener.NewClient(),
	}
	p.zoneInstances.Store(assumedConnectingInstances)
	return p
}

// listen starts the server for peers if the settings contain an address for it.
func (p *peers) listen() error {
	address := p.forwarder.settings.ListenPeers
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewRelayServiceHandler(&relayService{
		forwarder: p.forwarder,
	}, listener.CompressLargeReplies()))
	var err error
	p.server, err = listener.New(address, mux)
	return err
}

func (p *peers) close() {
	if p.server != nil {
		p.server.Close()
	}
	p.client.CloseIdleConnections()
}

// startCall counts a call from another instance, which ends when the returned function is called.
func (p *peers) startCall() func() {
	p.incomingCalls.Add(1)
	p.callsInFlight.Add(1)
	return func() { p.callsInFlight.Add(-1) }
}

func (p *peers) relayClient(address string) wireconnect.RelayServiceClient {
	return wireconnect.NewRelayServiceClient(p.client, "http://"+address)
}

// preconnect opens the connection to a peer by a call without attempts.
func (p *peers) preconnect(ctx context.Context, address string) error {
	stream, err := p.relayClient(address).Relay(ctx, connect.NewRequest(&wire.RelayRequest{}))
	if err != nil {
		return err
	}
	for stream.Receive() {
	}
	return errors.Join(stream.Err(), stream.Close())
}

// update applies the list of entry instances and opens connections to newly preferred peers.
func (p *peers) update(entries []*wire.EntryInstance) {
	var peerList []relayer.Peer
	var divertPeers []diverter.Peer
	zoneInstances := 0
	for _, entry := range entries {
		if entry.GetZone() == p.forwarder.zone {
			zoneInstances++
		}
		peerList = append(peerList, relayer.Peer{
			Instance: entry.GetInstance(),
			Zone:     entry.GetZone(),
			Address:  entry.GetAddress(),
		})
		divertPeers = append(divertPeers, diverter.Peer{
			Instance: entry.GetInstance(),
			Address:  entry.GetAddress(),
		})
	}
	p.zoneInstances.Store(int64(p.zoneInstanceCount.Update(time.Now(), zoneInstances)))
	f := p.forwarder
	f.mutex.Lock()
	previous := p.relayer.Preferred()
	p.relayer.Update(peerList)
	f.diverter.Update(divertPeers)
	preferred := p.relayer.Preferred()
	f.mutex.Unlock()
	for _, peer := range preferred {
		if !slices.Contains(previous, peer) {
			f.preconnector.addPeer(peer.Address)
		}
	}
}
