package publisher

import "pimentogate.example/pimentogate/pkg/wire"

// Publisher holds the current publication, built by applying the commands of the journal in order.
type Publisher struct {
	publication *wire.Publication
}

// New returns a publisher whose current publication is the given one, which may be nil.
func New(publication *wire.Publication) *Publisher {
	if publication == nil {
		publication = &wire.Publication{}
	}
	return &Publisher{
		publication: publication,
	}
}

// Publish replaces the current publication if the given one has a higher version. It returns the current version.
//
// Of two publications with the same version, the first one in the journal is kept: the content of a version
// never changes, even when operators publish concurrently.
func (p *Publisher) Publish(publication *wire.Publication) uint64 {
	if publication.GetVersion() > p.publication.GetVersion() {
		p.publication = publication
	}
	return p.publication.GetVersion()
}

// Publication returns the current publication. Its version is 0 if nothing has been published.
func (p *Publisher) Publication() *wire.Publication { return p.publication }
