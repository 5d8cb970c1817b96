package checker

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxNameBytes limits the ID of a replica, its service and its zone.
	maxNameBytes = 256
	// maxSlots is the largest number of requests that a replica may run at the same time.
	maxSlots = 1 << 20
	// maxInteger is the largest integer up to which every JSON encoder is exact.
	maxInteger = 1 << 53
	// maxWarmupMs is the longest warm-up in milliseconds, a day.
	maxWarmupMs = 24 * 60 * 60 * 1000
)

// ReplicaField names a field of a replica's record.
type ReplicaField string

// The fields that CheckReplica checks.
const (
	ReplicaID        ReplicaField = "id"
	ReplicaService   ReplicaField = "service"
	ReplicaAddress   ReplicaField = "address"
	ReplicaZone      ReplicaField = "zone"
	ReplicaSlots     ReplicaField = "slots"
	ReplicaSequence  ReplicaField = "sequence"
	ReplicaStartTime ReplicaField = "start time"
	ReplicaWarmup    ReplicaField = "warm-up"
)

// InvalidReplicaError reports a field with a value that no replica has.
type InvalidReplicaError struct {
	Field ReplicaField
}

// Error returns the field.
func (e *InvalidReplicaError) Error() string {
	return fmt.Sprintf("replica: %s is missing or not allowed", e.Field)
}

// CheckReplica returns an *InvalidReplicaError that names the first invalid field of a record, or nil if it describes a replica. The record of one that has left needs no address and no service.
func CheckReplica(record *wire.Replica) error {
	hasLeft := record.GetState() == wire.ReplicaState_REPLICA_STATE_LEFT
	for _, field := range []struct {
		name  ReplicaField
		valid bool
	}{
		{
			name:  ReplicaID,
			valid: record.GetId() != "" && isName(record.GetId()),
		},
		{
			name:  ReplicaService,
			valid: (record.GetService() != "" || hasLeft) && isName(record.GetService()),
		},
		{
			name:  ReplicaAddress,
			valid: isReplicaAddress(record.GetAddress()) || hasLeft && record.GetAddress() == "",
		},
		{
			name:  ReplicaZone,
			valid: isName(record.GetZone()),
		},
		{
			name:  ReplicaSlots,
			valid: record.GetSlots() <= maxSlots,
		},
		{
			name:  ReplicaSequence,
			valid: record.GetSequence() <= maxInteger,
		},
		{
			name:  ReplicaStartTime,
			valid: record.GetBornMs() >= 0 && record.GetBornMs() <= maxInteger,
		},
		{
			name:  ReplicaWarmup,
			valid: record.GetWarmupMs() <= maxWarmupMs,
		},
	} {
		if !field.valid {
			return &InvalidReplicaError{
				Field: field.name,
			}
		}
	}
	return nil
}

// isName reports whether the value can be part of a message and of a header field.
func isName(value string) bool {
	return len(value) <= maxNameBytes && utf8.ValidString(value) && !strings.ContainsFunc(value, unicode.IsControl)
}

// isReplicaAddress reports whether the value is the IP address of a host with a port.
func isReplicaAddress(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
