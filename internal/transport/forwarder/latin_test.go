package forwarder

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// latinText is text in an encoding that HTTP header fields may have and messages between instances may not.
const latinText = "caf\xe9"

// TestHeaderInOtherEncoding guards against a request with a header field that is not UTF-8 failing at a peer, which then gets no relays for a while.
func TestHeaderInOtherEncoding(t *testing.T) {
	rf := newRelayFixture(t)
	rf.disableRepeats()
	d := rf.serveWith(t, http.Header{
		"Kept": {"yes"},
		"Name": {latinText},
	})
	if d.Kind != scatterer.Gathered || len(d.Replies) != relayShards {
		t.Errorf("answer is incomplete: %+v", d)
	}
	if rf.isPeerSkipped() {
		t.Error("the peer is skipped")
	}
}

// TestRelayPartsAreEncodable guards against a result that can't be sent to the peer that has asked for it.
func TestRelayPartsAreEncodable(t *testing.T) {
	for name, outcome := range map[string]scatterer.Outcome{
		"stamp": {
			Kind: scatterer.OutcomeReplied,
			Reply: &scatterer.Reply{
				Status: http.StatusOK,
				Stamp:  latinText,
			},
		},
		"reason phrase": {
			Kind:  scatterer.OutcomeRejected,
			Cause: "503 " + latinText,
		},
	} {
		part := newRelayPart(1, &outcome)
		if _, err := proto.Marshal(part); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if kind := scatterer.OutcomeKind(part.GetOutcome()); name == "stamp" && kind != scatterer.OutcomeBroken {
			t.Errorf("%s: outcome %s with stamp %q", name, kind, part.GetStamp())
		}
	}
}
