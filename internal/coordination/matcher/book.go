package matcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is one service's part of a split route.
type Share struct {
	Service string
	Weight  uint64
}

// Route is where requests of one host and path prefix go; just one of Service, Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// Priority is the rank of the route's requests, 0 the most urgent.
	Priority int
	Service  string
	Split    []Share
	Shards   []string
	// Attempts is how many replicas of a service may run one request.
	Attempts int
	// TopK is how many records a gathered answer holds.
	TopK int
	// LeastShare of the shards must be in a gathered answer.
	LeastShare float64
}

// Service is what the replicas of one name have in common.
type Service struct {
	Name       string
	HealthPath string
	// Connections is how many a replica accepts from all callers together.
	Connections int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Book is one version of the whole routing configuration; it does not change once it is made.
type Book struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	byHost   map[string][]*Route
	services map[string]*Service
	// single are the services that requests go to one by one.
	single map[string]bool
}

// InvalidError names the field of a configuration that can't be put in force.
type InvalidError struct {
	Field  string
	Reason string
}

// Error names the field and what is wrong with it.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// NewBook checks a configuration and makes it ready for matching; a mistake is an InvalidError.
func NewBook(version uint64, routes []Route, services []Service, limits Limits) (*Book, error) {
	b := &Book{
		Version:  version,
		Routes:   routes,
		Services: services,
		Limits:   limits,
		byHost:   map[string][]*Route{},
		services: map[string]*Service{},
		single:   map[string]bool{},
	}
	for i := range services {
		b.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		if err := b.add(i); err != nil {
			return nil, err
		}
	}
	for _, list := range b.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return b, nil
}

func (b *Book) add(i int) error {
	r := &b.Routes[i]
	r.Host = strings.ToLower(r.Host)
	if err := b.check(r); err != nil {
		err.Field = fmt.Sprintf("routes[%d].%s", i, err.Field)
		return err
	}
	b.byHost[r.Host] = append(b.byHost[r.Host], r)
	if !r.IsGathered() {
		for _, name := range r.ServiceNames() {
			b.single[name] = true
		}
	}
	return nil
}

func (b *Book) check(r *Route) *InvalidError {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("prefix", fmt.Sprintf("%q must begin and end with a slash", r.Prefix))
	}
	if r.Timeout <= 0 {
		return invalid("timeout", "must be above 0")
	}
	for _, other := range b.byHost[r.Host] {
		if other.Prefix == r.Prefix {
			return invalid("prefix", fmt.Sprintf("host %q has another route at %q", r.Host, r.Prefix))
		}
	}
	return b.checkServices(r)
}

func (b *Book) checkServices(r *Route) *InvalidError {
	named := r.ServiceNames()
	if len(named) == 0 {
		return invalid("service", "names no service")
	}
	for _, name := range named {
		if b.services[name] == nil {
			return invalid("service", fmt.Sprintf("service %q is unknown", name))
		}
	}
	if len(r.Split) > 0 && r.totalWeight() == 0 {
		return invalid("split", "weights add up to 0")
	}
	return nil
}

func invalid(field, reason string) *InvalidError {
	return &InvalidError{
		Field:  field,
		Reason: reason,
	}
}

// ServiceNames returns every service that the route may send to.
func (r *Route) ServiceNames() []string {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	if len(r.Split) == 0 {
		if r.Service == "" {
			return nil
		}
		return []string{r.Service}
	}
	var names []string
	for _, share := range r.Split {
		names = append(names, share.Service)
	}
	return names
}

func (r *Route) totalWeight() uint64 {
	total := uint64(0)
	for _, share := range r.Split {
		total += share.Weight
	}
	return total
}

// IsGathered reports whether an answer is merged from shards.
func (r *Route) IsGathered() bool { return len(r.Shards) > 0 }

// ServiceFor returns the service that a request of a route without shards goes to; a split is decided by the request's id, so that shares follow the weights.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	place := xxhash.Sum64String(requestID) % r.totalWeight()
	for _, share := range r.Split {
		if place < share.Weight {
			return share.Service
		}
		place -= share.Weight
	}
	return r.Split[0].Service
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (b *Book) Match(host, path string) *Route {
	for _, r := range b.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// IsOnlyGathered reports whether the service is asked as a shard only, and by no route alone.
func (b *Book) IsOnlyGathered(name string) bool { return !b.single[name] }

// FindService returns the service of the name, or nil.
func (b *Book) FindService(name string) *Service { return b.services[name] }

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
