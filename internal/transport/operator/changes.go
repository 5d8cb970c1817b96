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

// controlTimeout limits a call to the control instances, including retries.
const controlTimeout = 5 * time.Second

func addControlFlag(flags *flag.FlagSet) *string {
	return flags.String("control", "127.0.0.1:7101", "comma-separated addresses of control instances")
}

func (o *Operator) runPlan(flags *flag.FlagSet, arguments []string) error {
	control := addControlFlag(flags)
	if err := launcher.ParseFlags(flags, arguments, 1); err != nil {
		return err
	}
	intent, err := decodeFile(flags.Arg(0), checker.DecodeIntent)
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

func (o *Operator) runConfirm(flags *flag.FlagSet, arguments []string) error {
	control := addControlFlag(flags)
	id := flags.String("id", "", "id of this confirm, the same on each retry; generated if empty")
	if err := launcher.ParseFlags(flags, arguments, 1); err != nil {
		return err
	}
	plan, err := decodeFile(flags.Arg(0), checker.DecodePlan)
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
		return fmt.Errorf("%w; retry with -id %s", err, *id)
	}
	if err := o.printJSON(checker.NewConfirmReply(*id, response)); err != nil {
		return err
	}
	if !response.GetAccepted() {
		return errors.New(response.GetReason())
	}
	return nil
}

// callControl tries the control instances in turn until one answers or controlTimeout ends. An invalid request is
// reported as a UsageError.
func callControl[T any](addresses string, call func(context.Context, wireconnect.ControlServiceClient) (*connect.Response[T], error)) (*T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	response, err := gateway.CallLeader(ctx, gateway.NewControlClient(strings.Split(addresses, ",")), call)
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && connectErr.Code() == connect.CodeInvalidArgument {
		return nil, &UsageError{
			Reason: connectErr.Message(),
		}
	}
	return response, err
}

// decodeFile decodes a file of JSON with comments, or standard input if the path is "-".
func decodeFile[T any](path string, decode func([]byte) (*T, error)) (*T, error) {
	content, err := readInput(path)
	if err != nil {
		return nil, &UsageError{
			Reason: fmt.Sprintf("%s: %s", path, err),
		}
	}
	decoded, err := decode(content)
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
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
