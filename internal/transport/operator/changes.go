package operator

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const operatorTimeout = 5 * time.Second

func controlFlag(flags *flag.FlagSet) *string {
	return flags.String("control", "127.0.0.1:7101", "addresses of control instances, with commas between")
}

func (o *Operator) plan(flags *flag.FlagSet, arguments []string) error {
	control := controlFlag(flags)
	if err := launcher.Parse(flags, arguments, 1); err != nil {
		return err
	}
	intent, err := readFile(flags.Arg(0), checker.DecodeIntent)
	if err != nil {
		return err
	}
	response, err := callControl(*control, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.PlanResponse], error) {
		return client.Plan(ctx, connect.NewRequest(&wire.PlanRequest{
			Intent: intent,
		}))
	})
	if err != nil {
		return err
	}
	return o.printJSON(checker.NewPlan(response.GetPlan()))
}

func (o *Operator) confirm(flags *flag.FlagSet, arguments []string) error {
	control := controlFlag(flags)
	id := flags.String("id", "", "name of this confirm, the same in a resend; made up where it is empty")
	if err := launcher.Parse(flags, arguments, 1); err != nil {
		return err
	}
	plan, err := readFile(flags.Arg(0), checker.DecodePlan)
	if err != nil {
		return err
	}
	if *id == "" {
		*id = uuid.NewString()
	}
	response, err := callControl(*control, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ConfirmResponse], error) {
		return client.Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{
			ConfirmId: *id,
			Intent:    plan.GetIntent(),
			Revision:  plan.GetRevision(),
			Digest:    plan.GetDigest(),
		}))
	})
	if err != nil {
		return fmt.Errorf("%w; send it again with -id %s", err, *id)
	}
	if err := o.printJSON(checker.NewConfirmReply(*id, response)); err != nil {
		return err
	}
	if !response.GetAccepted() {
		return errors.New(response.GetReason())
	}
	return nil
}

func callControl[T any](addresses string, call func(context.Context, wireconnect.ControlServiceClient) (*connect.Response[T], error)) (*T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	response, err := gateway.CallLeader(ctx, gateway.NewControlClient(strings.Split(addresses, ",")), call)
	var refusal *connect.Error
	if errors.As(err, &refusal) && refusal.Code() == connect.CodeInvalidArgument {
		return nil, &UsageError{
			Reason: refusal.Message(),
		}
	}
	return response, err
}

// readFile reads a file of JSON with comments, or standard input for "-".
func readFile[T any](path string, decode func([]byte) (*T, error)) (*T, error) {
	source, err := readInput(path)
	if err != nil {
		return nil, &UsageError{
			Reason: fmt.Sprintf("%s: %s", path, err),
		}
	}
	decoded, err := decode(source)
	if err != nil {
		return nil, &UsageError{
			Reason: fmt.Sprintf("%s:\n%s", path, err),
		}
	}
	return decoded, nil
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func (o *Operator) printJSON(value any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
