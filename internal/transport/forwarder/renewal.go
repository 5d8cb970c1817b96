package forwarder

import (
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

// renewal is what a newer configuration holds for a request.
type renewal struct {
	route   *matcher.Route
	version uint64
}

// renewed returns what a configuration newer than the version holds for the request, or nil where there is none.
func (f *Forwarder) renewed(call *exchanger.Call, version uint64) *renewal {
	book := f.Book()
	if book == nil || book.Version <= version {
		return nil
	}
	path, _, _ := strings.Cut(call.Path, "?")
	return &renewal{
		route:   book.Match(call.Host, path),
		version: book.Version,
	}
}

// run is one request under way.
type run struct {
	forwarder *Forwarder
	call      *exchanger.Call
	job       *scatterer.Job
	exchanges map[*scatterer.Attempt]*exchanger.Exchange
	timer     *time.Timer
	decided   chan struct{}
	over      bool
	request   scatterer.Request
	version   uint64
	attempts  []attemptNote
	relayed   []*relayRun
}
