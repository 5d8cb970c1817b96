package integration

import (
	"encoding/json"
	"fmt"
	"testing"

	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/state/recorder"
)

// counted is what the tests read of pimentogate report -json.
type counted struct {
	Lines     []recorder.GroupStats `json:"lines"`
	Records   int                   `json:"records"`
	Missing   uint64                `json:"missing"`
	Unreached []string              `json:"unreached"`
}

func (f *fleet) report(args ...string) counted {
	f.t.Helper()
	var found counted
	args = append([]string{"report", "-json", "-control", f.controlAddresses()}, args...)
	check(f.t, json.Unmarshal(f.operate(0, args...), &found))
	return found
}

// askAs sends one query of a tenant, and returns its outcome.
func (p *process) askAs(tenant, requestID string) string {
	var answer parser.QueryAnswer
	p.post("query", map[string]any{
		"query":      "bakery",
		"tenant":     tenant,
		"request-id": requestID,
		"timeout-ms": 1000,
	}, &answer)
	return answer.Outcome
}

func (c counted) count(outcome string) int64 {
	total := int64(0)
	for _, line := range c.Lines {
		if line.Outcome == outcome {
			total += line.Count
		}
	}
	return total
}

// checkReported sends 150 queries with a fault between them, and compares what callers were told with the report.
func (f *fleet) checkReported(t *testing.T, tenant string, lose func(i int), back func()) {
	t.Helper()
	told := int64(0)
	for n := range 150 {
		lose(n)
		if f.entries[n%len(f.entries)].askAs(tenant, fmt.Sprintf("%s-%d", tenant, n)) == "answered" {
			told++
		}
	}
	back()
	var found counted
	waitFor(t, settled, "every answer is in the report", func() bool {
		found = f.report("-tenant", tenant)
		return len(found.Unreached) == 0 && found.count("answered") >= told
	})
	if found.count("answered") != told || found.Records != 150 || found.Missing != 0 {
		t.Errorf("told %d of 150 answered; reported %+v", told, found)
	}
}

func TestReportSurvivesLostInstances(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   2,
		replicas: 2,
	})
	cases := []struct {
		name string
		lose func(i int)
		back func()
	}{
		{"nothing lost", func(int) {}, func() {}},
		{"a control instance killed mid hand-over", func(i int) {
			if i == 50 {
				f.controls[0].kill()
			}
		}, func() { f.controls[0].start() }},
		{"a control instance frozen mid hand-over", func(i int) {
			if i == 50 {
				f.controls[1].freeze()
			}
		}, func() { f.controls[1].thaw() }},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.checkReported(t, fmt.Sprint("tenant-", i), c.lose, c.back)
		})
	}
	f.operate(2, "report", "-from", "yesterday")
	t.Run("one request traced", func(t *testing.T) {
		c := newCall("traced")
		c.tenant = "traced-tenant"
		answer, _ := f.entries[0].send(c)
		var traced struct {
			Outcome   string   `json:"outcome"`
			Decisions []string `json:"decisions"`
		}
		waitFor(t, settled, "the request is in the report", func() bool { return f.report("-tenant", "traced-tenant").Records == 1 })
		check(t, json.Unmarshal(f.operate(0, "report", "-json", "-request", answer.RequestID, "-control", f.controlAddresses()), &traced))
		if traced.Outcome != "answered" || len(traced.Decisions) != 2 {
			t.Errorf("%+v", traced)
		}
	})
	t.Run("an entry instance killed", func(t *testing.T) {
		if f.entries[2].askAs("before", "before-kill") != "answered" {
			t.Error("not answered")
		}
		waitFor(t, settled, "the record is handed over", func() bool { return f.report("-tenant", "before").Records == 1 })
		f.entries[2].kill()
		if found := f.report("-tenant", "before"); found.Records != 1 {
			t.Errorf("after the kill: %+v", found)
		}
	})
}
