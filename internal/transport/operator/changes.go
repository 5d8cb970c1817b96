package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const operatorTimeout = 5 * time.Second

func controlFlag(flags *flag.FlagSet) *string {
	return flags.String("control", "127.0.0.1:7101", "addresses of control instances, with commas between")
}

func (o *Operator) plan(flags *flag.FlagSet, arguments []string) error {
	control := controlFlag(flags)
	if err := parse(flags, arguments, 1); err != nil {
		return err
	}
	intent := &wire.Intent{}
	if err := readMessage(flags.Arg(0), intent); err != nil {
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
	return o.printMessage(response.GetPlan())
}

func (o *Operator) confirm(flags *flag.FlagSet, arguments []string) error {
	control := controlFlag(flags)
	id := flags.String("id", "", "name of this confirm, the same in a resend; made up where it is empty")
	if err := parse(flags, arguments, 1); err != nil {
		return err
	}
	plan := &wire.Plan{}
	if err := readMessage(flags.Arg(0), plan); err != nil {
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
	if err := o.printMessage(response); err != nil {
		return err
	}
	if !response.GetAccepted() {
		return errors.New(response.GetReason())
	}
	return nil
}

func (o *Operator) status(flags *flag.FlagSet, arguments []string) error {
	control := controlFlag(flags)
	if err := parse(flags, arguments, 0); err != nil {
		return err
	}
	reached := 0
	for _, address := range strings.Split(*control, ",") {
		response, err := callControl(address, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.StatusResponse], error) {
			return client.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		})
		if err != nil {
			fmt.Fprintf(o.errOut, "control instance at %s: %s\n", address, err)
			continue
		}
		reached++
		if err := o.printMessage(response); err != nil {
			return err
		}
	}
	if reached == 0 {
		return errors.New("no control instance answered")
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

// readMessage reads a message from a file of JSON with comments, or from standard input for "-".
func readMessage(path string, message proto.Message) error {
	source, err := readInput(path)
	if err != nil {
		return err
	}
	standard, err := hujson.Standardize(source)
	if err != nil {
		return &UsageError{
			Reason: fmt.Sprintf("%s: %s", path, err),
		}
	}
	if err := protojson.Unmarshal(standard, message); err != nil {
		return &UsageError{
			Reason: fmt.Sprintf("%s: %s", path, err),
		}
	}
	return nil
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func (o *Operator) printMessage(message proto.Message) error {
	encoded, err := protojson.MarshalOptions{
		Multiline:     true,
		UseProtoNames: true,
	}.Marshal(message)
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintln(o.out, string(encoded))
	return err
}
