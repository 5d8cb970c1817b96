package forwarder

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxStateCalls bounds the State calls that are answered at once. One takes the link of 14 Mbit/s for some 60 ms.
	maxStateCalls = 2
	// maxPackedChanges is the number of changes since the encoded table from which it is encoded anew.
	maxPackedChanges = 256
)

var (
	errNoState        = errors.New("this entry instance has no state yet")
	errStateCallsBusy = errors.New("this entry instance answers other calls for its state")
)

// State returns the state that this instance follows to a peer that control has refused to send it.
func (s *relayService) State(ctx context.Context, request *connect.Request[wire.StateRequest]) (*connect.Response[wire.StateResponse], error) {
	d := s.forwarder.directory
	if !d.stateCalls.tryStart() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errStateCallsBusy)
	}
	// The context ends once the response has been written.
	context.AfterFunc(ctx, d.stateCalls.finish)
	response, err := d.stateFor(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.forwarder.meter.statesSent.Inc(1)
	return connect.NewResponse(response), nil
}

// callLimit bounds the number of calls in progress.
type callLimit struct {
	running atomic.Int64
}

func (l *callLimit) tryStart() bool {
	if l.running.Add(1) > maxStateCalls {
		l.running.Add(-1)
		return false
	}
	return true
}

func (l *callLimit) finish() { l.running.Add(-1) }

// stateFor returns the state for a peer, or errNoState if this instance has none. A state that this instance does not serve with yet is sent without a confirmation; the peer then needs the changes only.
func (d *directory) stateFor(request *wire.StateRequest) (*wire.StateResponse, error) {
	if err := d.repack(); err != nil {
		return nil, err
	}
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.hasTable || d.packed == nil {
		return nil, errNoState
	}
	response := &wire.StateResponse{}
	if d.publication.GetVersion() > request.GetVersion() {
		response.Publication = d.publication
	}
	if !d.confirmedAt.IsZero() {
		response.ConfirmedMsAgo = proto.Uint32(uint32(max(0, now.Sub(d.confirmedAt).Milliseconds())))
	}
	if d.index <= request.GetSince() {
		return response, nil
	}
	response.State = &wire.FollowResponse{
		Index:    d.index,
		Version:  d.configVersion,
		Whole:    true,
		Members:  d.members,
		Entries:  d.entries,
		TimeMs:   d.controlTimeMs + now.Sub(d.controlTimeAt).Milliseconds(),
		Drains:   d.drains,
		Table:    d.packed.Data,
		Replicas: d.replicasSince(d.packed.Index),
		Suspects: d.suspectsSince(d.packed.Index),
	}
	return response, nil
}

// repack encodes the table unless few changes have been received since it was last encoded, here or by control.
func (d *directory) repack() error {
	d.mutex.Lock()
	isRecent := d.packed != nil && len(d.replicasSince(d.packed.Index))+len(d.suspectsSince(d.packed.Index)) <= maxPackedChanges
	if isRecent || !d.hasTable {
		d.mutex.Unlock()
		return nil
	}
	table := &wire.FleetTable{
		Index:    d.index,
		Replicas: slices.Collect(maps.Values(d.replicas)),
		Suspects: slices.Collect(maps.Values(d.suspects)),
	}
	d.mutex.Unlock()
	data, err := packer.Pack(table)
	if err != nil {
		return err
	}
	d.keepPacked(&packer.Packed{
		Index: table.GetIndex(),
		Data:  data,
	})
	return nil
}

// keepPacked stores an encoded table that the directory contains, for peers.
func (d *directory) keepPacked(packed *packer.Packed) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if packed != nil && (d.packed == nil || packed.Index > d.packed.Index) && packed.Index <= d.index {
		d.packed = packed
	}
}

// replicasSince returns the replicas that were changed after the index; the mutex must be held.
func (d *directory) replicasSince(index uint64) []*wire.Replica {
	var changed []*wire.Replica
	for _, replica := range d.replicas {
		if replica.GetIndex() > index {
			changed = append(changed, replica)
		}
	}
	return changed
}

// suspectsSince returns the suspect requests that were changed after the index; the mutex must be held.
func (d *directory) suspectsSince(index uint64) []*wire.SuspectRequest {
	var changed []*wire.SuspectRequest
	for _, suspect := range d.suspects {
		if suspect.GetIndex() > index {
			changed = append(changed, suspect)
		}
	}
	return changed
}
