package reclaimer

const (
	// connectionMemory is the memory that a connection takes, with a small request and what waits unread, in bytes.
	connectionMemory = 40 << 10
	// multiplexedMemory is the memory that a connection takes whose requests run at the same time, in bytes.
	multiplexedMemory = 64 << 10
	// maxEntryRequestMemory limits the memory for requests at an entry instance, whose garbage is collected often beyond it, in bytes.
	maxEntryRequestMemory = 48 << 20
	// maxProbeConnections limits the connections of monitoring.
	maxProbeConnections = 64
)

// Share is what clients may use of a process.
type Share struct {
	Connections int
	// RequestBytes is the memory for requests, beyond what each connection takes.
	RequestBytes int64
}

// Budget divides the memory and descriptors of a process among its clients. The rest is for the process itself, and for what it asks of others.
type Budget struct {
	// Clients is the share of ordinary clients.
	Clients Share
	// Peers is the share of the system's other instances.
	Peers Share
	// Probes is the number of connections of monitoring, at each listener for it.
	Probes int
}

// DivideEntry returns the budget of an entry instance, for its memory in bytes and its descriptors.
func DivideEntry(memory, openFiles int64) Budget {
	return Budget{
		Clients: Share{
			Connections:  int(min(openFiles*3/8, memory/4/connectionMemory)),
			RequestBytes: min(memory*15/100, maxEntryRequestMemory),
		},
		Peers: Share{
			Connections:  int(min(openFiles/4, memory/8/connectionMemory)),
			RequestBytes: min(memory*10/100, maxEntryRequestMemory),
		},
		Probes: probeConnections(openFiles),
	}
}

// DivideControl returns the budget of a control instance, for its memory in bytes and its descriptors. Its requests are large, and few at a time.
func DivideControl(memory, openFiles int64) Budget {
	return Budget{
		Clients: Share{
			Connections:  int(min(openFiles*3/8, memory/8/connectionMemory)),
			RequestBytes: memory * 30 / 100,
		},
		Peers: Share{
			Connections:  int(min(openFiles/4, memory/4/multiplexedMemory)),
			RequestBytes: memory * 35 / 100,
		},
		Probes: probeConnections(openFiles),
	}
}

func probeConnections(openFiles int64) int { return int(min(openFiles/16, maxProbeConnections)) }
