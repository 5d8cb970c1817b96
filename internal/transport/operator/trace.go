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
	// traceMargin is how long before and after a request the other log lines of its instances are shown.
	traceMargin = 3 * time.Second
	// maxLineBytes limits a line of a log file.
	maxLineBytes = 1 << 20
)

// logLine is one line of a log file.
type logLine struct {
	writtenAt time.Time
	message   string
	instance  string
	request   string
	fields    map[string]json.RawMessage
	file      string
}

// RequestNotLoggedError reports that no line of the log files has the id of the request.
type RequestNotLoggedError struct {
	Request string
	Lines   int
}

// Error returns a message with the id of the request and the number of lines read.
func (e *RequestNotLoggedError) Error() string {
	return fmt.Sprintf("none of %d log lines has request id %q; of requests with complete answers, only 1 in 64 is logged", e.Lines, e.Request)
}

func (o *Operator) runTrace(flags *flag.FlagSet, arguments []string) error {
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil || flags.NArg() < 2 {
		return &UsageError{
			Reason: "trace takes a request id and one or more log files",
		}
	}
	var lines []logLine
	for _, path := range flags.Args()[1:] {
		fileLines, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	return printRequestLines(o.stdout, flags.Arg(0), lines)
}

func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
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

// parseLine parses a log line, ignoring any text before its JSON. It returns false for a line that is not in the
// format of this project's logs.
func parseLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var common struct {
		Time     time.Time `json:"time"`
		Message  string    `json:"msg"`
		Instance string    `json:"instance"`
		Request  string    `json:"request"`
	}
	var fields map[string]json.RawMessage
	content := []byte(text[start:])
	if json.Unmarshal(content, &common) != nil || common.Message == "" || json.Unmarshal(content, &fields) != nil {
		return logLine{}, false
	}
	return logLine{
		writtenAt: common.Time,
		message:   common.Message,
		instance:  common.Instance,
		request:   common.Request,
		fields:    fields,
	}, true
}

// printRequestLines prints the log lines of the request in the order of time, and as context the lines without a
// request id that the same instances logged within traceMargin.
func printRequestLines(out io.Writer, request string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.writtenAt.Compare(b.writtenAt) })
	var first, last time.Time
	instances := map[string]bool{}
	for _, line := range lines {
		if line.request != request {
			continue
		}
		if first.IsZero() {
			first = line.writtenAt
		}
		last = line.writtenAt
		instances[line.instance] = true
	}
	if first.IsZero() {
		return &RequestNotLoggedError{
			Request: request,
			Lines:   len(lines),
		}
	}
	for _, line := range lines {
		isContext := line.request == "" && instances[line.instance] && line.writtenAt.After(first.Add(-traceMargin)) && line.writtenAt.Before(last.Add(traceMargin))
		if line.request == request || isContext {
			printLine(out, line, line.writtenAt.Sub(last))
		}
	}
	return nil
}

// printLine prints a log line with its fields sorted by name; offset is its time relative to the request's last line.
func printLine(out io.Writer, line logLine, offset time.Duration) {
	fmt.Fprintf(out, "%+9.1f ms  %-20s %s", float64(offset.Microseconds())/1000, line.instance, line.message)
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
