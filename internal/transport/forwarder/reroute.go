package forwarder

import (
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
)

// reroute is the match of a request in a newer configuration; route is nil if no route matches.
type reroute struct {
	route   *matcher.Route
	version uint64
}

// findReroute matches the request against a configuration newer than version; it returns nil if there is none.
func (f *Forwarder) findReroute(call *exchanger.Call, version uint64) *reroute {
	table := f.RoutingTable()
	if table == nil || table.Version <= version {
		return nil
	}
	path, _, _ := strings.Cut(call.Path, "?")
	return &reroute{
		route:   table.Match(call.Host, path),
		version: table.Version,
	}
}

// activeRequest is a request in progress.
type activeRequest struct {
	forwarder      *Forwarder
	call           *exchanger.Call
	job            *scatterer.Job
	exchanges      map[*scatterer.Attempt]*exchanger.Exchange
	timer          *time.Timer
	decided        chan struct{}
	finished       bool
	request        scatterer.Request
	version        uint64
	attemptEntries []attemptEntry
	relays         []*outgoingRelay
	// lease is the memory that the request holds, until its last attempt has ended.
	lease *listener.Lease
}
