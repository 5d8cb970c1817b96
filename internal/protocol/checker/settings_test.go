package checker

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const validEntry = `{
	// a comment, and a trailing comma
	"instance": "entry-1",
	"zone": "zone-1",
	"listen-callers": "127.0.0.1:7001",
	"listen-peers": "127.0.0.1:7002",
	"control": ["127.0.0.1:7101"],
}`

const validControl = `{
	"instance": "control-1",
	"zone": "zone-1",
	"listen": "127.0.0.1:7101",
	"data-folder": "data",
	"members": [{"id": "control-1", "address": "127.0.0.1:7101"}],
}`

const validStandin = `{
	"upstream": "replica-1",
	"zone": "zone-1",
	"listen": "127.0.0.1:7201",
	"entries": ["127.0.0.1:7002"],
	"service": "tenants",
	"version": 1,
	"manifest": [{"shard": "a", "weight": 1}],
	"shards": ["a"],
	"slots": 2,
	"connections": 25,
}`

const entryWithWrongTypes = `{
	"instance": "",
	"zone": 4,
	"listen-callers": "no port",
	"listen-peers": ["127.0.0.1:7002"],
	// control is missing
	"peers": ["127.0.0.1:7002", 7, null],
	"shutdown-grace-ms": -1.5,
	"log-level": "loud",
}`

const entryWithWrongValues = `{
	"instance": "",
	"listen-callers": "no port",
	"listen-peers": "127.0.0.1:7002",
	"control": ["127.0.0.1"],
	"shutdown-grace-ms": -1,
	"log-level": "loud",
}`

const controlWithWrongValues = `{
	"instance": "control-1",
	"zone": "zone-1",
	"listen": "127.0.0.1:7101",
	"data-folder": "",
	"members": [{"id": "", "address": "here"}, {"id": "b", "address": "127.0.0.1:2"}],
	"election-timeout-ms": 5,
}`

const forwarderWithWrongValues = `{
	"instance": "entry-1",
	"zone": "zone-1",
	"listen-callers": "127.0.0.1:7001",
	"listen-readiness": "127.0.0.1:7002",
	"listen-metrics": "127.0.0.1:7003",
	"control-seeds": ["127.0.0.1:7101"],
	"control-peers": "127.0.0.1:7102",
	"zone-regions": {"zone-1": "region-1", "zone-2": 2},
	"allotment-window-ms": 0,
	"allotment-overage": -0.1,
	"cold-overage": 0.5,
}`

const controlWithWrongTypes = `{
	"instance": true,
	"members": [{"id": "a", "address": "127.0.0.1:1", "learner": true}, "b"],
	"election-timeout-ms": "300",
}`

const standinWithWrongValues = `{
	"upstream": "replica-1",
	"zone": "zone-1",
	"listen": "127.0.0.1:7201",
	"advertise": "nowhere",
	"entries": [],
	"service": "",
	"version": 0,
	"manifest": [],
	"slots": 0,
	"connections": 0,
	"rows-per-shard": -1,
	"work-ms": -2,
	"switches": {
		"versions": [{"version": 0}],
		"shed-share": 1.5,
		"straggler-period-ms": -1,
		"announce-to": ["there"],
	},
}`

const standinWithWrongTypes = `{
	"upstream": "replica-1",
	"slots": -2,
	"version": 1.5,
	"manifest": {"shard": "a"},
	"switches": {"shedding": true, "report-fixed": 1},
}`

// TestMistakes compares the errors for each invalid file with its golden file; -update rewrites the golden files.
func TestMistakes(t *testing.T) {
	cases := []struct {
		name   string
		source string
		read   func(path string) error
	}{
		{"entry-types", entryWithWrongTypes, readEntry},
		{"entry-values", entryWithWrongValues, readEntry},
		{"entry-syntax", `{"instance": "a" "zone": "b"}`, readEntry},
		{"entry-no-object", `["entry"]`, readEntry},
		{"control-values", controlWithWrongValues, readControl},
		{"control-types", controlWithWrongTypes, readControl},
		{"forwarder-values", forwarderWithWrongValues, readForwarder},
		{"standin-values", standinWithWrongValues, readStandin},
		{"standin-types", standinWithWrongTypes, readStandin},
	}
	g := goldie.New(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.read(writeSettings(t, c.source))
			var mistakes *MistakesError
			if !errors.As(err, &mistakes) {
				t.Fatalf("not a MistakesError: %v", err)
			}
			g.Assert(t, c.name, []byte(err.Error()+"\n"))
		})
	}
}

func TestGoodFilesAndDefaults(t *testing.T) {
	entry, err := ReadEntry(writeSettings(t, validEntry))
	if err != nil || entry.ShutdownGraceMs != defaultShutdownGraceMs || entry.LogLevel != defaultLogLevel {
		t.Errorf("entry settings: got %+v, %v", entry, err)
	}
	control, err := ReadControl(writeSettings(t, validControl))
	if err != nil || control.ElectionTimeoutMs != defaultElectionTimeoutMs || len(control.WireMembers()) != 1 {
		t.Errorf("control settings: got %+v, %v", control, err)
	}
	if _, err := ReadStandin(writeSettings(t, validStandin)); err != nil {
		t.Error(err)
	}
	if _, err := ReadEntry(filepath.Join(t.TempDir(), "none.json")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: got %v, want os.ErrNotExist", err)
	}
}

func TestUnknownField(t *testing.T) {
	err := readEntry(writeSettings(t, `{"listen": "127.0.0.1:1"}`))
	var mistakes *MistakesError
	if !errors.As(err, &mistakes) {
		t.Fatal(err)
	}
	found := slices.ContainsFunc(mistakes.Mistakes, func(m Mistake) bool {
		return m.Field == "listen" && m.Value == `"127.0.0.1:1"` && strings.HasPrefix(m.Allowed, "one of instance, zone, listen-callers")
	})
	if !found {
		t.Errorf("the error does not list the unknown field with the known ones: %v", err)
	}
}

func readEntry(path string) error {
	_, err := ReadEntry(path)
	return err
}

func readForwarder(path string) error {
	_, err := ReadForwarder(path)
	return err
}

func readControl(path string) error {
	_, err := ReadControl(path)
	return err
}

func readStandin(path string) error {
	_, err := ReadStandin(path)
	return err
}

func writeSettings(t *testing.T, source string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
