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

// The exit statuses.
const (
	exitDone    = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = `usage: loader VERB [flags]

  compare  bring a customer's sizes up in this process and measure routing policies in turn on the same seed
  drive    send queries to entry instances that are running
  limit    find the rate from which the loader itself falls behind

Each verb explains itself with -h. Results are JSON on standard output, one object a line, and a table on standard error.
Exit status: 0 done, 1 failed, 2 bad usage.
`

// UsageError is a mistake in the command line: the option, what was given, and what is allowed.
type UsageError struct {
	Option  string
	Value   string
	Allowed string
}

// Error names the option and the value.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s %q: must be %s", e.Option, e.Value, e.Allowed)
}

// Command runs one command line of the loader.
type Command struct {
	out    io.Writer
	errOut io.Writer
}

// NewCommand returns a command line that prints JSON on out, and tables and errors on errOut.
func NewCommand(out, errOut io.Writer) *Command {
	return &Command{
		out:    out,
		errOut: errOut,
	}
}

// Run runs the arguments and returns the exit status.
func (c *Command) Run(arguments []string) int {
	err := c.dispatch(arguments)
	var mistake *UsageError
	var settings *checker.MistakesError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &mistake), errors.As(err, &settings):
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

func (c *Command) flags(name, summary, example string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	flags.Usage = func() {
		fmt.Fprintf(c.errOut, "loader %s: %s\n\nexample: %s\n\nflags:\n", name, summary, example)
		flags.PrintDefaults()
	}
	return flags
}

func parse(flags *flag.FlagSet, arguments []string) error {
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return &UsageError{
			Option:  flags.Name(),
			Value:   strings.Join(arguments, " "),
			Allowed: "flags as -h shows them: " + err.Error(),
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

// need returns a mistake unless the option's value is allowed.
func need(ok bool, flags *flag.FlagSet, name, allowed string) error {
	if ok {
		return nil
	}
	return &UsageError{
		Option:  "-" + name,
		Value:   flags.Lookup(name).Value.String(),
		Allowed: allowed,
	}
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func firstOf(mistakes ...error) error {
	for _, err := range mistakes {
		if err != nil {
			return err
		}
	}
	return nil
}
