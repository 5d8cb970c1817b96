package operator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// traceMargin is how far before and after a request what its instance came to believe is shown.
	traceMargin = 3 * time.Second
	// mostLine bounds a line of a log, in bytes.
	mostLine = 1 << 20
)

// logLine is one line of a process's log.
type logLine struct {
	at       time.Time
	message  string
	instance string
	request  string
	fields   map[string]json.RawMessage
	file     string
}

// RequestNotLoggedError says that no line of the files names the request.
type RequestNotLoggedError struct {
	Request string
	Lines   int
}

// Error names the request and how much was read.
func (e *RequestNotLoggedError) Error() string {
	return fmt.Sprintf("none of %d log lines names request %q; whole answers are logged for one request in 64", e.Lines, e.Request)
}

func (o *Operator) trace(flags *flag.FlagSet, arguments []string) error {
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil || flags.NArg() < 2 {
		return &UsageError{
			Reason: "trace takes a request's id and one or more log files",
		}
	}
	var lines []logLine
	for _, path := range flags.Args()[1:] {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return tell(o.out, flags.Arg(0), lines)
}

func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, mostLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			line.file = filepath.Base(path)
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	return lines, nil
}

// parseLine reads one line; whatever stands before its JSON is passed over, and so are lines of other programs.
func parseLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var head struct {
		Time     time.Time `json:"time"`
		Message  string    `json:"msg"`
		Instance string    `json:"instance"`
		Request  string    `json:"request"`
	}
	var fields map[string]json.RawMessage
	content := []byte(text[start:])
	if json.Unmarshal(content, &head) != nil || head.Message == "" || json.Unmarshal(content, &fields) != nil {
		return logLine{}, false
	}
	return logLine{
		at:       head.Time,
		message:  head.Message,
		instance: head.Instance,
		request:  head.Request,
		fields:   fields,
	}, true
}

// tell prints the lines of the request, and around them what the instances that served it came to believe.
func tell(out io.Writer, request string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var first, last time.Time
	instances := map[string]bool{}
	for _, line := range lines {
		if line.request != request {
			continue
		}
		if first.IsZero() {
			first = line.at
		}
		last = line.at
		instances[line.instance] = true
	}
	if first.IsZero() {
		return &RequestNotLoggedError{
			Request: request,
			Lines:   len(lines),
		}
	}
	for _, line := range lines {
		context := line.request == "" && instances[line.instance] && line.at.After(first.Add(-traceMargin)) && line.at.Before(last.Add(traceMargin))
		if line.request == request || context {
			printLine(out, line, line.at.Sub(last))
		}
	}
	return nil
}

// printLine prints when a line was written, from the request's last line on, and its fields in the order of their names.
func printLine(out io.Writer, line logLine, from time.Duration) {
	fmt.Fprintf(out, "%+9.1f ms  %-20s %s", float64(from.Microseconds())/1000, line.instance, line.message)
	names := make([]string, 0, len(line.fields))
	for name := range line.fields {
		switch name {
		case "time", "level", "msg", "instance", "zone", "logger", "request":
		default:
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	for _, name := range names {
		fmt.Fprintf(out, " %s=%s", name, strings.Trim(string(line.fields[name]), `"`))
	}
	fmt.Fprintln(out)
}
