package checker

// Resources holds what a process may use, and how much of it may be used for clients. Limits of 0 are derived from the memory and the descriptors.
type Resources struct {
	// MemoryMB is the memory of the process, in megabytes.
	MemoryMB int64 `json:"memory-mb,omitempty"`
	// OpenFiles is the number of descriptors of the process.
	OpenFiles int64 `json:"open-files,omitempty"`
	// ClientConnections limits the connections of clients at one listener.
	ClientConnections int64 `json:"client-connections,omitempty"`
	// ClientMemoryMB limits the memory that the requests of clients take together, in megabytes.
	ClientMemoryMB int64 `json:"client-memory-mb,omitempty"`
	// WriteTimeoutMs is how long a client may take to receive a part of a response.
	WriteTimeoutMs int64 `json:"write-timeout-ms,omitempty"`
}

const (
	// defaultEntryMemoryMB and defaultControlMemoryMB are the memory of the smallest machines.
	defaultEntryMemoryMB   = 160
	defaultControlMemoryMB = 256
	defaultOpenFiles       = 4096
	defaultWriteTimeoutMs  = 5000

	minMemoryMB  = 64
	minOpenFiles = 128
)

// EntryResources returns the default resources of an entry instance.
func EntryResources() Resources { return newResources(defaultEntryMemoryMB) }

// ControlResources returns the default resources of a control instance.
func ControlResources() Resources { return newResources(defaultControlMemoryMB) }

func newResources(memoryMB int64) Resources {
	return Resources{
		MemoryMB:       memoryMB,
		OpenFiles:      defaultOpenFiles,
		WriteTimeoutMs: defaultWriteTimeoutMs,
	}
}

func checkResources(v *validator, r *Resources) {
	v.require("resources.memory-mb", r.MemoryMB >= minMemoryMB, "at least 64")
	v.require("resources.open-files", r.OpenFiles >= minOpenFiles, "at least 128")
	v.require("resources.client-connections", r.ClientConnections >= 0, "0 or more")
	v.require("resources.client-memory-mb", r.ClientMemoryMB >= 0 && r.ClientMemoryMB <= r.MemoryMB, "from 0 to memory-mb")
	v.require("resources.write-timeout-ms", r.WriteTimeoutMs > 0, "above 0")
}
