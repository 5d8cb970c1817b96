package matcher

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func newRoute(host, prefix string, modify func(*Route)) Route {
	r := Route{
		Name:    host + prefix,
		Host:    host,
		Prefix:  prefix,
		Timeout: time.Second,
		Service: "one",
	}
	if modify != nil {
		modify(&r)
	}
	return r
}

var services = []Service{{Name: "one"}, {Name: "two"}}

func TestMatch(t *testing.T) {
	table, err := NewRoutingTable(1, []Route{
		newRoute("a.example", "/x/", nil),
		newRoute("a.example", "/x/y/", nil),
		newRoute("b.example", "/", nil),
	}, services, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "a.example/x/"},
		{"a.example", "/x/y/1", "a.example/x/y/"},
		{"A.Example:8080", "/x/y/", "a.example/x/y/"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y/", "b.example/"},
		{"c.example", "/x/", ""},
	}
	for _, c := range cases {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestInvalidConfigs(t *testing.T) {
	cases := []struct {
		name      string
		routes    []Route
		wantField string
	}{
		{"unknown service", []Route{newRoute("a", "/x/", func(r *Route) { r.Service = "nine" })}, "routes[0].service"},
		{"unknown shard", []Route{newRoute("a", "/x/", func(r *Route) { r.Service, r.Shards = "", []string{"one", "nine"} })}, "routes[0].service"},
		{"no service", []Route{newRoute("a", "/x/", func(r *Route) { r.Service = "" })}, "routes[0].service"},
		{"duplicate prefix", []Route{newRoute("a", "/x/", nil), newRoute("A", "/x/", nil)}, "routes[1].prefix"},
		{"zero weights", []Route{newRoute("a", "/x/", func(r *Route) { r.Service, r.Split = "", []WeightedService{{"one", 0}, {"two", 0}} })}, "routes[0].split"},
		{"no timeout", []Route{newRoute("a", "/x/", func(r *Route) { r.Timeout = 0 })}, "routes[0].timeout"},
		{"no slash", []Route{newRoute("a", "/x", nil)}, "routes[0].prefix"},
	}
	for _, c := range cases {
		_, err := NewRoutingTable(1, c.routes, services, Limits{})
		var invalidErr *InvalidError
		if !errors.As(err, &invalidErr) || invalidErr.Field != c.wantField {
			t.Errorf("%s: error %v, want invalid field %s", c.name, err, c.wantField)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	const requests = 10_000
	r := newRoute("a", "/", func(r *Route) { r.Split = []WeightedService{{"one", 3}, {"two", 1}} })
	counts := map[string]int{}
	for i := range requests {
		counts[r.ServiceFor(fmt.Sprintf("request-%d", i))]++
	}
	if share := float64(counts["one"]) / requests; share < 0.73 || share > 0.77 {
		t.Errorf("share %.3f, want 0.75", share)
	}
}
