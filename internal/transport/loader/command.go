package loader

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logr/logr"

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

// quick fits any machine: two policies within 40 s.
const (
	quickScale   = 0.4
	quickSeconds = 8
	quickWarmUp  = 2
)

func (c *Command) compare(arguments []string) error {
	flags := c.flags("compare", "bring a customer's sizes up in this process and measure routing policies in turn on the same seed",
		"loader compare -preset kvali-desk -policies "+defaultPolicies+" -load 0.5")
	var listed strings.Builder
	for _, p := range presets() {
		listed.WriteString("\n" + p.String())
	}
	presetName := flags.String("preset", presets()[0].name, "the sizes, one of:"+listed.String())
	policies := flags.String("policies", defaultPolicies, "values of the entry setting "+policySetting+" to compare, with commas between; "+defaultPolicy+" leaves it out")
	entries := flags.Int("entries", 8, "entry instances")
	load := flags.Float64("load", 0.5, "load as a share of the capacity of the slots")
	scale := flags.Float64("scale", 1, "share of the preset's shards, or of the replicas where there is one shard")
	workMs := flags.Float64("work-ms", 10, "median work of a sub-request, in ms")
	sigma := flags.Float64("work-sigma", 0.5, "spread of the work, as the sigma of its logarithm")
	stragglers := flags.Bool("stragglers", true, "one replica in ten is ten times slower for 300 ms at a time, never two of one shard")
	timeoutMs := flags.Int64("timeout-ms", 3000, "deadline of a query, in ms")
	seconds := flags.Float64("seconds", 15, "length of each measurement")
	warmUp := flags.Float64("warm-up", 3, "seconds of load before each measurement")
	seed := flags.Uint64("seed", 1, "seed of arrivals and work")
	first := flags.Bool("first-service", false, "only the preset's first service")
	quick := flags.Bool("quick", false, "a short run at a smaller size, under 40 s")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	chosen, known := findPreset(*presetName)
	if *quick {
		*first = true
		*scale, *seconds, *warmUp = quickScale, quickSeconds, quickWarmUp
	}
	err := firstOf(
		need(known, flags, "preset", "one of "+strings.Join(presetNames(), ", ")),
		need(*policies != "", flags, "policies", "names with commas between"),
		need(*entries > 0, flags, "entries", "above 0"),
		need(*load > 0 && *load <= 10, flags, "load", "above 0 and at most 10"),
		need(*scale > 0 && *scale <= 4, flags, "scale", "above 0 and at most 4"),
		need(*workMs > 0, flags, "work-ms", "above 0"),
		need(*sigma >= 0, flags, "work-sigma", "0 or more"),
		need(*timeoutMs > 0, flags, "timeout-ms", "above 0"),
		need(*seconds > 0, flags, "seconds", "above 0"),
		need(*warmUp >= 0, flags, "warm-up", "0 or more"),
	)
	if err != nil {
		return err
	}
	if *first {
		chosen.services = chosen.services[:1]
	}
	comparison := &Comparison{
		preset:   chosen.scale(*scale),
		policies: strings.Split(*policies, ","),
		entries:  *entries,
		share:    *load,
		work: work{
			medianMs:   *workMs,
			sigma:      *sigma,
			stragglers: *stragglers,
		},
		timeout: time.Duration(*timeoutMs) * time.Millisecond,
		warmUp:  seconds64(*warmUp),
		length:  seconds64(*seconds),
		seed:    *seed,
		log:     logr.Discard(),
	}
	report := &reporter{
		lines: c.out,
		table: c.errOut,
	}
	defer report.close()
	return comparison.Run(context.Background(), report.take)
}

func seconds64(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func firstOf(mistakes ...error) error {
	for _, err := range mistakes {
		if err != nil {
			return err
		}
	}
	return nil
}
