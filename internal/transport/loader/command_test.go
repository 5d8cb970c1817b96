package loader

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func runCommand(arguments ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	status := NewCommand(&out, &errOut).Run(arguments)
	return status, out.String(), errOut.String()
}

func TestHelp(t *testing.T) {
	g := goldie.New(t)
	for _, verb := range []string{"compare", "drive", "limit"} {
		status, _, help := runCommand(verb, "-h")
		if status != exitSuccess {
			t.Errorf("%s -h: exit status %d", verb, status)
		}
		g.Assert(t, "help-"+verb, []byte(help))
	}
}

func TestUsageErrorsNameOptionAndValue(t *testing.T) {
	cases := []struct {
		arguments string
		want      string
	}{
		{"", `verb ""`},
		{"measure", `verb "measure": must be compare, drive or limit`},
		{"compare -preset moon", `-preset "moon": must be one of kvali-desk`},
		{"compare -load 0", `-load "0": must be above 0 and at most 10`},
		{"compare -entries -1", `-entries "-1"`},
		{"compare -entries many", `invalid value "many" for flag -entries`},
		{"compare -sizes 3", `flag provided but not defined: -sizes`},
		{"compare file", `compare "file": must be given without file names`},
		{"compare -policies blind -seconds 1", `routing-policy: "blind" is not allowed`},
		{"drive", `-entries "": must be at least one address`},
		{"drive -entries a:1", `-service ""`},
		{"drive -entries a:1 -service s -per-second 0", `-per-second "0": must be above 0`},
		{"limit -from -5", `-from "-5": must be above 0`},
	}
	for _, c := range cases {
		status, out, errOut := runCommand(strings.Fields(c.arguments)...)
		if status != exitUsage || out != "" || !strings.Contains(errOut, c.want) {
			t.Errorf("loader %s: exit status %d, %s%s", c.arguments, status, out, errOut)
		}
	}
}
