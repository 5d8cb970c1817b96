package integration

import (
	"encoding/json"
	"fmt"
	"testing"

	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/state/recorder"
)

// reportOutput holds the fields of the output of pimentogate report -json that the tests check.
type reportOutput struct {
	Lines     []recorder.GroupStats `json:"lines"`
	Records   int                   `json:"records"`
	Missing   uint64                `json:"missing"`
	Unreached []string              `json:"unreached"`
}

func (f *fleet) readReport(args ...string) reportOutput {
	f.t.Helper()
	var output reportOutput
	args = append([]string{"report", "-json", "-control", f.controlFlag()}, args...)
	must(f.t, json.Unmarshal(f.runCommand(0, args...), &output))
	return output
}

// queryAs sends a query on behalf of a tenant and returns its outcome.
func (p *process) queryAs(tenant, requestID string) string {
	var answer parser.QueryAnswer
	p.post("query", map[string]any{
		"query":      "bakery",
		"tenant":     tenant,
		"request-id": requestID,
		"timeout-ms": 1000,
	}, &answer)
	return answer.Outcome
}

func (o reportOutput) count(outcome string) int64 {
	total := int64(0)
	for _, line := range o.Lines {
		if line.Outcome == outcome {
			total += line.Count
		}
	}
	return total
}

// checkReported sends 150 queries, calling injectFault before each, and compares the callers' answers with the report.
func (f *fleet) checkReported(t *testing.T, tenant string, injectFault func(i int), restore func()) {
	t.Helper()
	answered := int64(0)
	for n := range 150 {
		injectFault(n)
		if f.entries[n%len(f.entries)].queryAs(tenant, fmt.Sprintf("%s-%d", tenant, n)) == "answered" {
			answered++
		}
	}
	restore()
	var output reportOutput
	waitFor(t, settleTimeout, "the report contains every answer", func() bool {
		output = f.readReport("-tenant", tenant)
		return len(output.Unreached) == 0 && output.count("answered") >= answered
	})
	if output.count("answered") != answered || output.Records != 150 || output.Missing != 0 {
		t.Errorf("%d of 150 queries answered, but the report has %+v", answered, output)
	}
}

func TestReportSurvivesLostInstances(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   2,
		replicas: 2,
	})
	cases := []struct {
		name        string
		injectFault func(i int)
		restore     func()
	}{
		{"nothing lost", func(int) {}, func() {}},
		{"a control instance killed during delivery", func(i int) {
			if i == 50 {
				f.controls[0].kill()
			}
		}, func() { f.controls[0].start() }},
		{"a control instance frozen during delivery", func(i int) {
			if i == 50 {
				f.controls[1].freeze()
			}
		}, func() { f.controls[1].thaw() }},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.checkReported(t, fmt.Sprint("tenant-", i), c.injectFault, c.restore)
		})
	}
	f.runCommand(2, "report", "-from", "yesterday")
	t.Run("one request traced", func(t *testing.T) {
		r := newRunRequest("traced")
		r.tenant = "traced-tenant"
		answer, _ := f.entries[0].send(r)
		var traced struct {
			Outcome   string   `json:"outcome"`
			Decisions []string `json:"decisions"`
		}
		waitFor(t, settleTimeout, "the report contains the request", func() bool { return f.readReport("-tenant", "traced-tenant").Records == 1 })
		must(t, json.Unmarshal(f.runCommand(0, "report", "-json", "-request", answer.RequestID, "-control", f.controlFlag()), &traced))
		if traced.Outcome != "answered" || len(traced.Decisions) != 2 {
			t.Errorf("trace %+v, want answered with 2 decisions", traced)
		}
	})
	t.Run("an entry instance killed", func(t *testing.T) {
		if f.entries[2].queryAs("before", "before-kill") != "answered" {
			t.Error("query before the kill was not answered")
		}
		waitFor(t, settleTimeout, "the record is delivered to control", func() bool { return f.readReport("-tenant", "before").Records == 1 })
		f.entries[2].kill()
		if output := f.readReport("-tenant", "before"); output.Records != 1 {
			t.Errorf("report after the kill: %+v, want 1 record", output)
		}
	})
}
