package operator

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"pimentogate.example/pimentogate/internal/transport/launcher"
)

// The exit statuses of every verb.
const (
	ExitDone    = launcher.ExitDone
	ExitFailure = launcher.ExitFailure
	ExitUsage   = launcher.ExitUsage
)

// UsageError is a mistake in a command line or a settings file.
type UsageError = launcher.UsageError

type verb struct {
	name    string
	summary string
	example string
	run     func(o *Operator, flags *flag.FlagSet, arguments []string) error
}

// Operator runs one command line.
type Operator struct {
	out    io.Writer
	errOut io.Writer
	verbs  []verb
}

// New returns a command line that prints results on out, and logs and errors on errOut.
func New(out, errOut io.Writer) *Operator {
	return &Operator{
		out:    out,
		errOut: errOut,
		verbs:  allVerbs(),
	}
}

func allVerbs() []verb {
	return []verb{
		{
			name:    "try",
			summary: "bring the whole path up in this process, ask one query and one non-idempotent request, and exit",
			example: "pimentogate try",
			run:     (*Operator).try,
		},
		{
			name:    "form",
			summary: "write the first journal of a control instance into its empty data folder",
			example: "pimentogate form -settings control-1.json",
			run:     (*Operator).form,
		},
		{
			name:    "control",
			summary: "run a control instance",
			example: "pimentogate control -settings control-1.json",
			run:     (*Operator).control,
		},
		{
			name:    "entry",
			summary: "run an entry instance",
			example: "pimentogate entry -settings entry-1.json",
			run:     (*Operator).entry,
		},
		{
			name:    "check",
			summary: "read a settings file and name every mistake in it",
			example: "pimentogate check -kind entry entry-1.json",
			run:     (*Operator).check,
		},
		{
			name:    "plan",
			summary: "say what an intent would do; nothing changes",
			example: "pimentogate plan -control 127.0.0.1:7101 intent.json > plan.json",
			run:     (*Operator).plan,
		},
		{
			name:    "confirm",
			summary: "put a plan in force, if the configuration is still the one it was made against",
			example: "pimentogate confirm -control 127.0.0.1:7101 -id change-17 plan.json",
			run:     (*Operator).confirm,
		},
		{
			name:    "status",
			summary: "show the revision, the control instances, and where the revision is in force",
			example: "pimentogate status -control 127.0.0.1:7101",
			run:     (*Operator).status,
		},
		{
			name:    "report",
			summary: "count what was answered, refused and why, or trace one request",
			example: "pimentogate report -control 127.0.0.1:7101,127.0.0.1:7102 -from 2026-01-31T08:00:00Z -tenant bakery",
			run:     (*Operator).report,
		},
		{
			name:    "trace",
			summary: "tell the story of one request from the logs of several processes",
			example: "pimentogate trace 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log",
			run:     (*Operator).trace,
		},
	}
}

// Run runs the arguments and returns the exit status.
func (o *Operator) Run(arguments []string) int {
	err := o.dispatch(arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(o.errOut, "pimentogate:", err)
	}
	return launcher.Status(err)
}

func (o *Operator) dispatch(arguments []string) error {
	if len(arguments) == 0 {
		return &UsageError{
			Reason: "no verb given\n" + o.usage(),
		}
	}
	if arguments[0] == "-h" || arguments[0] == "help" {
		fmt.Fprint(o.out, o.usage())
		return nil
	}
	for _, v := range o.verbs {
		if v.name == arguments[0] {
			return v.run(o, o.flags(v), arguments[1:])
		}
	}
	return &UsageError{
		Reason: fmt.Sprintf("verb %q is not known\n%s", arguments[0], o.usage()),
	}
}

func (o *Operator) usage() string {
	var b strings.Builder
	b.WriteString("usage: pimentogate VERB [flags] [FILE]\n\n")
	for _, v := range o.verbs {
		fmt.Fprintf(&b, "  %-8s  %s\n", v.name, v.summary)
	}
	b.WriteString("\nEach verb explains itself with -h. Exit status: 0 done, 1 failed, 2 bad usage or settings.\n")
	return b.String()
}

func (o *Operator) flags(v verb) *flag.FlagSet {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(o.errOut)
	flags.Usage = func() {
		fmt.Fprintf(o.errOut, "pimentogate %s: %s\n\nexample: %s\n\nflags:\n", v.name, v.summary, v.example)
		flags.PrintDefaults()
	}
	return flags
}
