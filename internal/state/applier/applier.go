package applier

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/claimer"
	"pimentogate.example/pimentogate/internal/state/enroller"
	"pimentogate.example/pimentogate/internal/state/publisher"
	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

// Result is the result of one command. At most one field is set.
type Result struct {
	Confirm *wire.ConfirmResponse
	Claim   *wire.ClaimResponse
	Record  *wire.RecordResponse
	Publish *wire.PublishResponse
	Read    *wire.ReadResponse
	Drain   *wire.DrainZoneResponse
}

// Applier is the replicated state, built by applying the commands of the journal in order.
type Applier struct {
	Catalog *cataloger.Catalog
	Ledger  *claimer.Ledger
	// Publisher and Enroller hold the routing configuration and the table of replicas.
	Publisher *publisher.Publisher
	Enroller  *enroller.Enroller
	// Quarantiner holds the requests under which replicas have crashed.
	Quarantiner *quarantiner.Quarantiner
}

// New returns an empty state.
func New() *Applier {
	return &Applier{
		Catalog:   cataloger.New(),
		Ledger:    claimer.New(),
		Publisher: publisher.New(nil),
		Enroller:  enroller.New(nil),

		Quarantiner: quarantiner.New(nil),
	}
}

// Apply applies one committed entry and returns the result of its command. The result is empty for entries
// that are not commands and for commands without a response.
func (a *Applier) Apply(entry *wire.JournalEntry) (Result, error) {
	if entry.GetKind() != wire.EntryKind_ENTRY_KIND_COMMAND {
		return Result{}, nil
	}
	command := &wire.Command{}
	if err := proto.Unmarshal(entry.GetPayload(), command); err != nil {
		return Result{}, fmt.Errorf("decode command of journal entry %d: %w", entry.GetIndex(), err)
	}
	a.Ledger.Advance(command.GetTimeMs())
	switch change := command.GetChange().(type) {
	case *wire.Command_Confirm:
		return Result{
			Confirm: a.Catalog.Confirm(change.Confirm),
		}, nil
	case *wire.Command_Claim:
		return Result{
			Claim: a.Ledger.Claim(change.Claim),
		}, nil
	case *wire.Command_Record:
		return Result{
			Record: a.Ledger.Record(change.Record),
		}, nil
	case *wire.Command_Publish:
		return Result{
			Publish: &wire.PublishResponse{
				Version: a.Publisher.Publish(change.Publish.GetPublication()),
			},
		}, nil
	case *wire.Command_Enroll:
		a.Enroller.Enroll(enroller.WithTimes(change.Enroll.GetReplica(), a.Ledger.NowMs()), entry.GetIndex())
		return Result{}, nil
	case *wire.Command_ReportAttempts:
		for _, attempt := range change.ReportAttempts.GetAttempts() {
			a.Quarantiner.Report(a.Ledger.NowMs(), attempt, entry.GetIndex())
		}
		return Result{}, nil
	case *wire.Command_DrainZone:
		return Result{
			Drain: a.Catalog.DrainZone(change.DrainZone),
		}, nil
	case *wire.Command_Read:
		return Result{
			Read: &wire.ReadResponse{
				Publication: a.Publisher.Publication(),
			},
		}, nil
	default:
		return Result{}, nil
	}
}

// Snapshot returns the encoded state.
func (a *Applier) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(&wire.StateSnapshot{
		TimeMs:   a.Ledger.NowMs(),
		Config:   a.Catalog.Config(),
		Confirms: a.Catalog.ConfirmResults(),
		Claims:   a.Ledger.Claims(),
		Fleet: &wire.FleetState{
			Publication: a.Publisher.Publication(),
			Replicas:    a.Enroller.Replicas(0),
			Suspects:    a.Quarantiner.Suspects(0),
		},
	})
}

// Restore replaces the state with that of an encoded snapshot.
func (a *Applier) Restore(snapshot []byte) error {
	state := &wire.StateSnapshot{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	a.Catalog = cataloger.Restore(state.GetConfig(), state.GetConfirms())
	a.Ledger = claimer.Restore(state.GetTimeMs(), state.GetClaims())
	a.Publisher = publisher.New(state.GetFleet().GetPublication())
	a.Enroller = enroller.New(state.GetFleet().GetReplicas())
	a.Quarantiner = quarantiner.New(state.GetFleet().GetSuspects())
	return nil
}
