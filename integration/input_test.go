package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"pimentogate.example/pimentogate/internal/protocol/parser"
)

func TestBadInput(t *testing.T) {
	f := newFleet(t, topology{
		controls: 1,
		entries:  1,
		zones:    1,
		shards:   1,
		replicas: 1,
	})
	cases := []struct {
		name   string
		path   string
		body   string
		status int
		field  string
	}{
		{"malformed body", "tenants/query", `{"query":`, http.StatusBadRequest, "body"},
		{"unknown field", "tenants/query", `{"qurey":"x","timeout-ms":10}`, http.StatusBadRequest, "body"},
		{"wrong type", "tenants/query", `{"query":7,"timeout-ms":10}`, http.StatusBadRequest, "query"},
		{"oversized body", "tenants/query", `{"query":"` + strings.Repeat("x", parser.MaxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge, "body"},
		{"missing deadline", "tenants/query", `{"query":"x"}`, http.StatusBadRequest, "timeout-ms"},
		{"past timeout", "tenants/query", `{"query":"x","timeout-ms":-1}`, http.StatusBadRequest, "timeout-ms"},
		{"past deadline", "tenants/query", `{"query":"x","deadline":"2020-01-01T00:00:00Z"}`, http.StatusBadRequest, "deadline"},
		{"coverage above 1", "tenants/query", `{"query":"x","timeout-ms":10,"coverage":1.5}`, http.StatusBadRequest, "coverage"},
		{"coverage below 0", "tenants/query", `{"query":"x","timeout-ms":10,"coverage":-0.1}`, http.StatusBadRequest, "coverage"},
		{"empty key", "tenants/run", `{"key":"","key-time":"2026-01-01T00:00:00Z","timeout-ms":10}`, http.StatusBadRequest, "key"},
		{"long key", "tenants/run", `{"key":"` + strings.Repeat("k", parser.MaxKeyBytes+1) + `","key-time":"2026-01-01T00:00:00Z","timeout-ms":10}`, http.StatusBadRequest, "key"},
		{"missing key time", "tenants/run", `{"key":"k","timeout-ms":10}`, http.StatusBadRequest, "key-time"},
		{"unknown service for a query", "none/query", `{"query":"x","timeout-ms":10}`, http.StatusNotFound, "service"},
		{"unknown service for a run", "none/run", `{"key":"k","key-time":"2026-01-01T00:00:00Z","timeout-ms":10}`, http.StatusNotFound, "service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, err := http.Post("http://"+f.entries[0].callerAddress+"/v1/services/"+c.path, "application/json", strings.NewReader(c.body))
			must(t, err)
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			must(t, err)
			var answer parser.ErrorAnswer
			must(t, json.Unmarshal(content, &answer))
			if response.StatusCode != c.status || answer.Outcome != "not-run" || answer.Field != c.field {
				t.Errorf("status %d, want %d; answer %s, want not-run and the name of the field", response.StatusCode, c.status, content)
			}
		})
	}
	if revision := f.controls[0].status().GetRevision(); revision != 1 {
		t.Errorf("bad input changed the revision to %d, want 1", revision)
	}
}
