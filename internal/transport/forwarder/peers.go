package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/delegator"
	"pimentogate.example/pimentogate/internal/coordination/diverter"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/relayer"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// peerIdleConnections is how many connections to a peer are kept while no call uses them.
const peerIdleConnections = 4

// peers connects the instance with the other entry instances. The forwarder's mutex guards the relayer and the rate of queries that callers send to this instance.
type peers struct {
	forwarder *Forwarder
	relayer   *relayer.Relayer
	queryRate *delegator.Rate
	// delegating is the result of delegates at the last check.
	delegating bool
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
		client:            listener.NewHTTP1Client(peerIdleConnections),
		queryRate:         delegator.NewRate(time.Now()),
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
	p.server, err = p.forwarder.guards.NewPeersGate(false).NewServer(address, mux)
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

// update applies the list of entry instances and opens connections to newly preferred peers. Shares of connections are not computed from a list that may be incomplete.
func (p *peers) update(entries []*wire.EntryInstance, isComplete bool) {
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
			Zone:     entry.GetZone(),
		})
	}
	if isComplete {
		p.zoneInstances.Store(int64(p.zoneInstanceCount.Update(time.Now(), zoneInstances)))
	}
	f := p.forwarder
	f.allotments.update(entries)
	f.mutex.Lock()
	previous := p.relayer.Preferred()
	changed := p.relayer.Update(peerList)
	f.diverter.Update(divertPeers)
	preferred := p.relayer.Preferred()
	f.mutex.Unlock()
	if changed {
		f.preconnector.noteChange()
	}
	for _, peer := range preferred {
		if !slices.Contains(previous, peer) {
			f.preconnector.addPeer(peer.Address)
		}
	}
}

// updateRelays adapts the number of relays to the rate of queries, and opens the connections that this instance needs then.
func (p *peers) updateRelays(now time.Time) {
	f := p.forwarder
	f.mutex.Lock()
	wasDelegating := p.delegating
	p.delegating = p.delegates(now)
	count := delegator.RelayCount(p.queryRate.PerSecond(now), f.entryInstances)
	changed := p.relayer.SetRelayCount(count)
	delegates := p.delegating
	preferred := p.relayer.Preferred()
	f.mutex.Unlock()
	if !changed && delegates == wasDelegating {
		return
	}
	f.log.Info("relays changed", "relays-per-zone", count, "delegates", delegates)
	f.preconnector.noteChange()
	for _, peer := range preferred {
		f.preconnector.addPeer(peer.Address)
	}
}

// delegates reports whether this instance leaves attempts at shards in its availability zone to relays there; the mutex must be held.
func (p *peers) delegates(now time.Time) bool {
	return !p.relayer.IsRelay() && delegator.IsCold(p.queryRate.PerSecond(now))
}
