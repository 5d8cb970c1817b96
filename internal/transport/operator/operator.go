package operator

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"pimentogate.example/pimentogate/internal/transport/launcher"
)

// The exit statuses of all verbs.
const (
	ExitSuccess = launcher.ExitSuccess
	ExitFailure = launcher.ExitFailure
	ExitUsage   = launcher.ExitUsage
)

// UsageError is an error in a command line or a settings file.
type UsageError = launcher.UsageError

// verb is a subcommand.
type verb struct {
	name    string
	summary string
	example string
	run     func(o *Operator, flags *flag.FlagSet, arguments []string) error
}

// Operator runs command lines.
type Operator struct {
	stdout io.Writer
	stderr io.Writer
	verbs  []verb
}

// New returns an operator that prints results on stdout, and logs and errors on stderr.
func New(stdout, stderr io.Writer) *Operator {
	return &Operator{
		stdout: stdout,
		stderr: stderr,
		verbs:  allVerbs(),
	}
}

func allVerbs() []verb {
	return []verb{
		{
			name:    "try",
			summary: "start a complete cluster in this process, send it one query and one non-idempotent request, and exit",
			example: "pimentogate try",
			run:     (*Operator).runTry,
		},
		{
			name:    "form",
			summary: "write the first journal of a control instance into its empty data folder",
			example: "pimentogate form -settings control-1.json",
			run:     (*Operator).runForm,
		},
		{
			name:    "control",
			summary: "run a control instance",
			example: "pimentogate control -settings control-1.json",
			run:     (*Operator).runControl,
		},
		{
			name:    "entry",
			summary: "run an entry instance",
			example: "pimentogate entry -settings entry-1.json",
			run:     (*Operator).runEntry,
		},
		{
			name:    "check",
			summary: "validate a settings file and list all errors in it",
			example: "pimentogate check -kind entry entry-1.json",
			run:     (*Operator).runCheck,
		},
		{
			name:    "plan",
			summary: "show what an intent would change, without applying it",
			example: "pimentogate plan -control 127.0.0.1:7101 intent.json > plan.json",
			run:     (*Operator).runPlan,
		},
		{
			name:    "confirm",
			summary: "apply a plan, if the configuration has not changed since the plan was made",
			example: "pimentogate confirm -control 127.0.0.1:7101 -id change-17 plan.json",
			run:     (*Operator).runConfirm,
		},
		{
			name:    "status",
			summary: "show the revision, the control instances, and the entry instances where the revision is in force",
			example: "pimentogate status -control 127.0.0.1:7101",
			run:     (*Operator).runStatus,
		},
		{
			name:    "report",
			summary: "count requests by outcome and reason, or trace one request",
			example: "pimentogate report -control 127.0.0.1:7101,127.0.0.1:7102 -from 2026-01-31T08:00:00Z -tenant bakery",
			run:     (*Operator).runReport,
		},
		{
			name:    "trace",
			summary: "show the log lines of one request from the logs of several processes",
			example: "pimentogate trace 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log",
			run:     (*Operator).runTrace,
		},
		{
			name:    "explain",
			summary: "show where an entry instance would send a request now and why, without sending it",
			example: "pimentogate explain -entry 127.0.0.1:7340 -host shop.example -path /search -organisation bakery",
			run:     (*Operator).runExplain,
		},
	}
}

// Run runs the command line and returns the exit status.
func (o *Operator) Run(arguments []string) int {
	err := o.dispatch(arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(o.stderr, "pimentogate:", err)
	}
	return launcher.ExitStatus(err)
}

func (o *Operator) dispatch(arguments []string) error {
	if len(arguments) == 0 {
		return &UsageError{
			Reason: "no verb given\n" + o.usage(),
		}
	}
	if arguments[0] == "-h" || arguments[0] == "help" {
		fmt.Fprint(o.stdout, o.usage())
		return nil
	}
	for _, v := range o.verbs {
		if v.name == arguments[0] {
			return v.run(o, o.newFlagSet(v), arguments[1:])
		}
	}
	return &UsageError{
		Reason: fmt.Sprintf("unknown verb %q\n%s", arguments[0], o.usage()),
	}
}

func (o *Operator) usage() string {
	var b strings.Builder
	b.WriteString("usage: pimentogate VERB [flags] [FILE]\n\n")
	for _, v := range o.verbs {
		fmt.Fprintf(&b, "  %-8s  %s\n", v.name, v.summary)
	}
	b.WriteString("\nRun a verb with -h for its help. Exit status: 0 success, 1 failure, 2 usage or settings error.\n")
	return b.String()
}

func (o *Operator) newFlagSet(v verb) *flag.FlagSet {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(o.stderr)
	flags.Usage = func() {
		fmt.Fprintf(o.stderr, "pimentogate %s: %s\n\nexample: %s\n\nflags:\n", v.name, v.summary, v.example)
		flags.PrintDefaults()
	}
	return flags
}
