package forwarder

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

// TestLoggedRequestsAreSmall guards against a log or records of outcomes that fill the memory with what callers have sent and replicas have answered, while they wait to be written.
func TestLoggedRequestsAreSmall(t *testing.T) {
	id := strings.Repeat("i", 16<<10)
	call := &exchanger.Call{
		ID:     id,
		Header: http.Header{},
		Body:   make([]byte, 1<<20),
	}
	request := scatterer.Request{
		ID:    id,
		Route: &matcher.Route{},
	}
	decision := &scatterer.Decision{
		Replies: []*scatterer.Reply{{
			Body: make([]byte, 1<<20),
		}},
	}
	entry := newRequestEntry(call, request, decision)
	if len(entry.id) > maxLoggedID || entry.request.ID != "" || entry.decision.Replies != nil || entry.parts != 1 {
		t.Errorf("an entry of %d bytes of ID, %d of the request, %d replies, %d parts", len(entry.id), len(entry.request.ID), len(entry.decision.Replies), entry.parts)
	}
	active := &activeRequest{
		call:    call,
		request: request,
	}
	if record := newOutcomeRecord(active, decision, time.Second); len(record.GetRequestId()) > maxLoggedID {
		t.Errorf("a record with %d bytes of ID", len(record.GetRequestId()))
	}
}
