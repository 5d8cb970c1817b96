package launcher

import (
	"errors"
	"flag"
	"fmt"
)

// Exit statuses of the pimentogate and pimentogate-machine commands.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// UsageError reports a mistake in a command line or a settings file.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// ParseFlags parses the flags and checks that exactly wantFiles file names follow.
func ParseFlags(flags *flag.FlagSet, arguments []string, wantFiles int) error {
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return &UsageError{
			Reason: err.Error(),
		}
	}
	if flags.NArg() != wantFiles {
		return &UsageError{
			Reason: fmt.Sprintf("%s takes %d file names, %d given", flags.Name(), wantFiles, flags.NArg()),
		}
	}
	return nil
}

// ReadSettings parses a command line with the -settings flag only, reads the settings file and returns the
// settings and the path of the file.
func ReadSettings[T any](flags *flag.FlagSet, arguments []string, kind string, read func(path string) (*T, error)) (*T, string, error) {
	path := flags.String("settings", "", "settings file of the "+kind+" instance")
	if err := ParseFlags(flags, arguments, 0); err != nil {
		return nil, "", err
	}
	settings, err := read(*path)
	if err != nil {
		return nil, "", SettingsError(*path, err)
	}
	return settings, *path, nil
}

// SettingsError wraps an error of a settings file in a UsageError, unless it is one already.
func SettingsError(path string, err error) error {
	var usageErr *UsageError
	if errors.As(err, &usageErr) {
		return err
	}
	return &UsageError{
		Reason: fmt.Sprintf("settings file %q:\n%s", path, err),
	}
}

// ExitStatus returns the exit status for an error. A request for help is no failure.
func ExitStatus(err error) int {
	var usageErr *UsageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitSuccess
	case errors.As(err, &usageErr):
		return ExitUsage
	default:
		return ExitFailure
	}
}
