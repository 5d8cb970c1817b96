package publisher

import "pimentogate.example/pimentogate/pkg/wire"

// Publisher holds the publication in force; it is built by the journal's commands in order.
type Publisher struct {
	publication *wire.Publication
}

// New returns a publisher that goes on from a publication, which may be nil.
func New(publication *wire.Publication) *Publisher {
	if publication == nil {
		publication = &wire.Publication{}
	}
	return &Publisher{
		publication: publication,
	}
}

// Publish puts a higher version in force; any other changes nothing. It returns the version in force.
//
// Of two publications of the same version the journal's first one holds, so that operators who race never see the content under a version change.
func (p *Publisher) Publish(publication *wire.Publication) uint64 {
	if publication.GetVersion() > p.publication.GetVersion() {
		p.publication = publication
	}
	return p.publication.GetVersion()
}

// Publication returns what is in force; its version is 0 while there is none.
func (p *Publisher) Publication() *wire.Publication { return p.publication }
