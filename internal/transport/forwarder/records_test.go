package forwarder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

// TestRecordsAreEncodable guards against a record that can't be sent, behind which all later records of the instance wait until they are lost.
func TestRecordsAreEncodable(t *testing.T) {
	b := balancer.New("a", nil)
	b.Put(balancer.Replica{
		ID:      "r-1",
		Service: "one",
	})
	r := &activeRequest{
		call: &exchanger.Call{
			ID: latinText,
		},
		request: scatterer.Request{
			Route: &matcher.Route{
				Name: "one",
			},
		},
		attemptEntries: []attemptEntry{{
			attempt: &scatterer.Attempt{
				Replica: b.Find("r-1"),
				Service: "one",
			},
			cause: "503 " + latinText,
		}},
	}
	record := newOutcomeRecord(r, &scatterer.Decision{
		Kind:   scatterer.Failed,
		Reason: scatterer.ReasonReplicaFailed,
	}, 0)
	if _, err := proto.Marshal(record); err != nil {
		t.Error(err)
	}
	if len(record.GetDecisions()) != 2 {
		t.Errorf("decisions %q, want the number of attempts and one attempt", record.GetDecisions())
	}
}
