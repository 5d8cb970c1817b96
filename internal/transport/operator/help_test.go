package operator

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// runCommand runs a command line and returns its exit status, standard output and standard error.
func runCommand(arguments ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	status := New(&stdout, &stderr).Run(arguments)
	return status, stdout.String(), stderr.String()
}

// TestHelp compares the help of every verb with its golden file; run with -update to rewrite the files.
func TestHelp(t *testing.T) {
	g := goldie.New(t)
	status, overview, _ := runCommand("-h")
	if status != ExitSuccess {
		t.Errorf("-h: exit status %d", status)
	}
	g.Assert(t, "help", []byte(overview))
	for _, v := range allVerbs() {
		status, _, help := runCommand(v.name, "-h")
		if status != ExitSuccess || !strings.Contains(help, "example: pimentogate "+v.name) {
			t.Errorf("%s -h: exit status %d, %s", v.name, status, help)
		}
		g.Assert(t, "help-"+v.name, []byte(help))
	}
}

func TestBadCommandLines(t *testing.T) {
	cases := []struct {
		arguments string
		status    int
		want      string
	}{
		{"", ExitUsage, "no verb given"},
		{"start", ExitUsage, `unknown verb "start"`},
		{"try now", ExitUsage, "try takes 0 file names, 1 given"},
		{"entry -setting a", ExitUsage, "flag provided but not defined: -setting"},
		{"entry -settings /no/such/file", ExitUsage, `settings file "/no/such/file"`},
		{"control", ExitUsage, `settings file ""`},
		{"check -kind moon file", ExitUsage, `-kind "moon": must be entry, forward, control or standin`},
		{"plan -control 127.0.0.1:1", ExitUsage, "plan takes 1 file names, 0 given"},
		{"status -control 127.0.0.1:1", ExitFailure, "no control instance answered"},
	}
	for _, c := range cases {
		status, stdout, stderr := runCommand(strings.Fields(c.arguments)...)
		if status != c.status || stdout != "" || !strings.Contains(stderr, c.want) {
			t.Errorf("pimentogate %s: exit status %d, want %d: %s%s", c.arguments, status, c.status, stdout, stderr)
		}
	}
}
