package listener

import (
	"errors"
	"fmt"
	"testing"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/pkg/wire"
)

func TestErrorDetail(t *testing.T) {
	refusal := connect.NewError(connect.CodeUnavailable, errors.New("refused"))
	for _, message := range []*wire.NotLeader{{}, {LeaderAddress: "second"}} {
		detail, err := connect.NewErrorDetail(message)
		if err != nil {
			t.Fatal(err)
		}
		refusal.AddDetail(detail)
	}
	if found := ErrorDetail[*wire.NotLeader](fmt.Errorf("call: %w", refusal)); found == nil || found.GetLeaderAddress() != "" {
		t.Errorf("found %v, want the first detail", found)
	}
	if found := ErrorDetail[*wire.NotStarted](refusal); found != nil {
		t.Errorf("found %v in an error without that detail", found)
	}
	if found := ErrorDetail[*wire.NotLeader](errors.New("no refusal")); found != nil {
		t.Errorf("found %v in an error that is not a connect error", found)
	}
}
