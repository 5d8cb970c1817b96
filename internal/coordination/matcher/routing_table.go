package matcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WeightedService is one service of a split route with its weight.
type WeightedService struct {
	Service string
	Weight  uint64
}

// Route defines where requests for one host and path prefix go; exactly one of Service, Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is most useful.
	TargetLatency time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	Service  string
	Split    []WeightedService
	Shards   []string
	// MaxRuns is how many replicas of a service may run one request.
	MaxRuns int
	// TopK is how many records a merged answer holds.
	TopK int
	// MinShardShare is the share of the shards that a merged answer must include.
	MinShardShare float64
	// IsPublic is set if requests need no key.
	IsPublic bool
	// HomeRegions are the only regions to whose replicas requests are sent; empty allows all.
	HomeRegions []string
}

// Service holds the settings that all replicas of a service share.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections a replica accepts from all callers together.
	MaxConnections int
	// ColdRatePerSecond is how many requests a cold replica accepts from all instances together, per second; 0 means no limit.
	ColdRatePerSecond float64
	// ColdDuration is how long a replica is cold after its start.
	ColdDuration time.Duration
}

// Limits holds the limits on what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RoutingTable is one immutable version of the routing configuration.
type RoutingTable struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyring holds the organisations; nil if the configuration names none, in which case requests need no key.
	Keyring *Keyring

	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	// unsharded holds the services that routes without shards use.
	unsharded map[string]bool
}

// InvalidError reports an invalid field of a configuration.
type InvalidError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// NewRoutingTable validates a configuration and indexes it for matching; a validation error is an *InvalidError.
func NewRoutingTable(version uint64, routes []Route, services []Service, limits Limits) (*RoutingTable, error) {
	t := &RoutingTable{
		Version:        version,
		Routes:         routes,
		Services:       services,
		Limits:         limits,
		routesByHost:   map[string][]*Route{},
		servicesByName: map[string]*Service{},
		unsharded:      map[string]bool{},
	}
	for i := range services {
		t.servicesByName[services[i].Name] = &services[i]
	}
	for i := range routes {
		if err := t.addRoute(i); err != nil {
			return nil, err
		}
	}
	for _, hostRoutes := range t.routesByHost {
		slices.SortFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *RoutingTable) addRoute(i int) error {
	r := &t.Routes[i]
	r.Host = strings.ToLower(r.Host)
	if err := t.validateRoute(r); err != nil {
		err.Field = fmt.Sprintf("routes[%d].%s", i, err.Field)
		return err
	}
	t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	if !r.IsSharded() {
		for _, name := range r.ServiceNames() {
			t.unsharded[name] = true
		}
	}
	return nil
}

func (t *RoutingTable) validateRoute(r *Route) *InvalidError {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return newInvalidError("prefix", fmt.Sprintf("%q must begin and end with a slash", r.Prefix))
	}
	if r.Timeout <= 0 {
		return newInvalidError("timeout", "must be above 0")
	}
	for _, other := range t.routesByHost[r.Host] {
		if other.Prefix == r.Prefix {
			return newInvalidError("prefix", fmt.Sprintf("host %q has another route at %q", r.Host, r.Prefix))
		}
	}
	return t.validateServices(r)
}

func (t *RoutingTable) validateServices(r *Route) *InvalidError {
	names := r.ServiceNames()
	if len(names) == 0 {
		return newInvalidError("service", "names no service")
	}
	for _, name := range names {
		if t.servicesByName[name] == nil {
			return newInvalidError("service", fmt.Sprintf("service %q is unknown", name))
		}
	}
	if len(r.Split) > 0 && r.totalWeight() == 0 {
		return newInvalidError("split", "weights add up to 0")
	}
	return nil
}

func newInvalidError(field, reason string) *InvalidError {
	return &InvalidError{
		Field:  field,
		Reason: reason,
	}
}

// ServiceNames returns all services that the route may use.
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
	for _, weighted := range r.Split {
		names = append(names, weighted.Service)
	}
	return names
}

func (r *Route) totalWeight() uint64 {
	total := uint64(0)
	for _, weighted := range r.Split {
		total += weighted.Weight
	}
	return total
}

// IsSharded reports whether answers are merged from shards.
func (r *Route) IsSharded() bool { return len(r.Shards) > 0 }

// ServiceFor returns the service for a request of a route without shards. A split route hashes the request ID, so that the services get requests in proportion to their weights.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	offset := xxhash.Sum64String(requestID) % r.totalWeight()
	for _, weighted := range r.Split {
		if offset < weighted.Weight {
			return weighted.Service
		}
		offset -= weighted.Weight
	}
	return r.Split[0].Service
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (t *RoutingTable) Match(host, path string) *Route {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// IsShardOnly reports whether no route without shards uses the service.
func (t *RoutingTable) IsShardOnly(name string) bool { return !t.unsharded[name] }

// FindService returns the service with the name, or nil.
func (t *RoutingTable) FindService(name string) *Service { return t.servicesByName[name] }

// normalizeHost strips the port and converts the host to lower case.
func normalizeHost(host string) string {
	hostname, _, _ := strings.Cut(host, ":")
	return strings.ToLower(hostname)
}
