package matcher

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func route(host, prefix string, change func(*Route)) Route {
	r := Route{
		Name:    host + prefix,
		Host:    host,
		Prefix:  prefix,
		Timeout: time.Second,
		Service: "one",
	}
	if change != nil {
		change(&r)
	}
	return r
}

var services = []Service{{Name: "one"}, {Name: "two"}}

func TestMatch(t *testing.T) {
	b, err := NewBook(1, []Route{
		route("a.example", "/x/", nil),
		route("a.example", "/x/y/", nil),
		route("b.example", "/", nil),
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
		if r := b.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s takes %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestInvalidBooks(t *testing.T) {
	cases := []struct {
		name   string
		routes []Route
		field  string
	}{
		{"unknown service", []Route{route("a", "/x/", func(r *Route) { r.Service = "nine" })}, "routes[0].service"},
		{"unknown shard", []Route{route("a", "/x/", func(r *Route) { r.Service, r.Shards = "", []string{"one", "nine"} })}, "routes[0].service"},
		{"no service", []Route{route("a", "/x/", func(r *Route) { r.Service = "" })}, "routes[0].service"},
		{"same place", []Route{route("a", "/x/", nil), route("A", "/x/", nil)}, "routes[1].prefix"},
		{"no weight", []Route{route("a", "/x/", func(r *Route) { r.Service, r.Split = "", []Share{{"one", 0}, {"two", 0}} })}, "routes[0].split"},
		{"no timeout", []Route{route("a", "/x/", func(r *Route) { r.Timeout = 0 })}, "routes[0].timeout"},
		{"no slash", []Route{route("a", "/x", nil)}, "routes[0].prefix"},
	}
	for _, c := range cases {
		_, err := NewBook(1, c.routes, services, Limits{})
		var invalid *InvalidError
		if !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%s: %v, want a mistake in %s", c.name, err, c.field)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	const requests = 10_000
	r := route("a", "/", func(r *Route) { r.Split = []Share{{"one", 3}, {"two", 1}} })
	counts := map[string]int{}
	for i := range requests {
		counts[r.ServiceFor(fmt.Sprintf("request-%d", i))]++
	}
	if share := float64(counts["one"]) / requests; share < 0.73 || share > 0.77 {
		t.Errorf("share %.3f, want 0.75", share)
	}
}
