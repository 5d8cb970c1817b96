package launcher

import (
	"errors"
	"flag"
	"fmt"
)

// The exit statuses of every command line.
const (
	ExitDone    = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// UsageError is a mistake in a command line or a settings file.
type UsageError struct {
	Reason string
}

// Error says what is wrong.
func (e *UsageError) Error() string { return e.Reason }

// Parse parses flags and holds that as many file names follow.
func Parse(flags *flag.FlagSet, arguments []string, files int) error {
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return &UsageError{
			Reason: err.Error(),
		}
	}
	if flags.NArg() != files {
		return &UsageError{
			Reason: fmt.Sprintf("%s takes %d file names, %d given", flags.Name(), files, flags.NArg()),
		}
	}
	return nil
}

// ReadSettings parses a command line that takes just the settings file of an instance, reads the file and returns its path too.
func ReadSettings[T any](flags *flag.FlagSet, arguments []string, kind string, read func(path string) (*T, error)) (*T, string, error) {
	path := flags.String("settings", "", "settings file of the "+kind+" instance")
	if err := Parse(flags, arguments, 0); err != nil {
		return nil, "", err
	}
	settings, err := read(*path)
	if err != nil {
		return nil, "", SettingsError(*path, err)
	}
	return settings, *path, nil
}

// SettingsError returns the mistakes of a settings file as one of usage.
func SettingsError(path string, err error) error {
	var usage *UsageError
	if errors.As(err, &usage) {
		return err
	}
	return &UsageError{
		Reason: fmt.Sprintf("settings file %q:\n%s", path, err),
	}
}

// Status returns the exit status that an error stands for.
func Status(err error) int {
	var usage *UsageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailure
	}
}
