package controller

import "pimentogate.example/pimentogate/pkg/wire"

// ServiceLister returns the names of the services of a publication's document.
type ServiceLister func(document []byte) ([]string, error)

// namedServices are the services that the current publication names. They are used in the event loop.
type namedServices struct {
	list ServiceLister
	// version is that of the publication whose names are held.
	version uint64
	names   map[string]bool
}

// contains reports whether the publication names the service. Without a lister, or for a document that can't be read, it names all.
func (n *namedServices) contains(publication *wire.Publication, service string) bool {
	if n.list == nil {
		return true
	}
	if n.names == nil || n.version != publication.GetVersion() {
		n.version = publication.GetVersion()
		n.names = n.read(publication)
	}
	return n.names == nil || n.names[service]
}

// read returns the names, or nil if the document can't be read.
func (n *namedServices) read(publication *wire.Publication) map[string]bool {
	names := map[string]bool{}
	if publication.GetVersion() == 0 {
		return names
	}
	list, err := n.list(publication.GetDocument())
	if err != nil {
		return nil
	}
	for _, name := range list {
		names[name] = true
	}
	return names
}
