package loader

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

// Exit statuses of the command.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = `usage: loader VERB [flags]

  compare  start the services of a preset in this process and measure routing policies one after the other with the same seed
  drive    send queries to running entry instances
  limit    find the rate at which the loader itself falls behind

Run a verb with -h for its flags. Results are printed as JSON on standard output, one object per line, and as a table on standard error.
Exit status: 0 success, 1 failure, 2 invalid usage.
`

// UsageError is an invalid command line: the option, the given value and the allowed values.
type UsageError struct {
	Option  string
	Value   string
	Allowed string
}

// Error returns a message with the option, the value and the allowed values.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s %q: must be %s", e.Option, e.Value, e.Allowed)
}

// Command runs command lines of the loader.
type Command struct {
	out    io.Writer
	errOut io.Writer
}

// NewCommand returns a command that prints JSON to out, and tables and errors to errOut.
func NewCommand(out, errOut io.Writer) *Command {
	return &Command{
		out:    out,
		errOut: errOut,
	}
}

// Run runs the verb given by the arguments and returns the exit status.
func (c *Command) Run(arguments []string) int {
	err := c.dispatch(arguments)
	var usageErr *UsageError
	var settingsErr *checker.MistakesError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitSuccess
	case errors.As(err, &usageErr), errors.As(err, &settingsErr):
		fmt.Fprintln(c.errOut, "loader:", err)
		return exitUsage
	default:
		fmt.Fprintln(c.errOut, "loader:", err)
		return exitFailure
	}
}

func (c *Command) dispatch(arguments []string) error {
	if len(arguments) == 0 {
		fmt.Fprint(c.errOut, usage)
		return &UsageError{
			Option:  "verb",
			Allowed: "compare, drive or limit",
		}
	}
	switch arguments[0] {
	case "-h", "help":
		fmt.Fprint(c.out, usage)
		return nil
	case "compare":
		return c.compare(arguments[1:])
	case "drive":
		return c.drive(arguments[1:])
	case "limit":
		return c.limit(arguments[1:])
	default:
		return &UsageError{
			Option:  "verb",
			Value:   arguments[0],
			Allowed: "compare, drive or limit",
		}
	}
}

func (c *Command) newFlagSet(name, summary, example string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	flags.Usage = func() {
		fmt.Fprintf(c.errOut, "loader %s: %s\n\nexample: %s\n\nflags:\n", name, summary, example)
		flags.PrintDefaults()
	}
	return flags
}

func parseFlags(flags *flag.FlagSet, arguments []string) error {
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return &UsageError{
			Option:  flags.Name(),
			Value:   strings.Join(arguments, " "),
			Allowed: "valid flags, see -h: " + err.Error(),
		}
	}
	if flags.NArg() > 0 {
		return &UsageError{
			Option:  flags.Name(),
			Value:   flags.Arg(0),
			Allowed: "given without file names",
		}
	}
	return nil
}

// requireFlag returns a usage error for the named flag unless its value is allowed.
func requireFlag(ok bool, flags *flag.FlagSet, name, allowed string) error {
	if ok {
		return nil
	}
	return &UsageError{
		Option:  "-" + name,
		Value:   flags.Lookup(name).Value.String(),
		Allowed: allowed,
	}
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
