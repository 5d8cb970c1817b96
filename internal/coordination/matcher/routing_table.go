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
}

// Service holds the settings that all replicas of a service share.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections a replica accepts from all callers together.
	MaxConnections int
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
	b := &RoutingTable{
		Version:        version,
		Routes:         routes,
		Services:       services,
		Limits:         limits,
		routesByHost:   map[string][]*Route{},
		servicesByName: map[string]*Service{},
		unsharded:      map[string]bool{},
	}
	for i := range services {
		b.servicesByName[services[i].Name] = &services[i]
	}
	for i := range routes {
		if err := b.addRoute(i); err != nil {
			return nil, err
		}
	}
	for _, hostRoutes := range b.routesByHost {
		slices.SortFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return b, nil
}

func (b *RoutingTable) addRoute(i int) error {
	r := &b.Routes[i]
	r.Host = strings.ToLower(r.Host)
	if err := b.validateRoute(r); err != nil {
		err.Field = fmt.Sprintf("routes[%d].%s", i, err.Field)
		return err
	}
	b.routesByHost[r.Host] = append(b.routesByHost[r.Host], r)
	if !r.IsSharded() {
		for _, name := range r.ServiceNames() {
			b.unsharded[name] = true
		}
	}
	return nil
}

func (b *RoutingTable) validateRoute(r *Route) *InvalidError {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return newInvalidError("prefix", fmt.Sprintf("%q must begin and end with a slash", r.Prefix))
	}
	if r.Timeout <= 0 {
		return newInvalidError("timeout", "must be above 0")
	}
	for _, other := range b.routesByHost[r.Host] {
		if other.Prefix == r.Prefix {
			return newInvalidError("prefix", fmt.Sprintf("host %q has another route at %q", r.Host, r.Prefix))
		}
	}
	return b.validateServices(r)
}

func (b *RoutingTable) validateServices(r *Route) *InvalidError {
	names := r.ServiceNames()
	if len(names) == 0 {
		return newInvalidError("service", "names no service")
	}
	for _, name := range names {
		if b.servicesByName[name] == nil {
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
func (b *RoutingTable) Match(host, path string) *Route {
	for _, r := range b.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// IsShardOnly reports whether no route without shards uses the service.
func (b *RoutingTable) IsShardOnly(name string) bool { return !b.unsharded[name] }

// FindService returns the service with the name, or nil.
func (b *RoutingTable) FindService(name string) *Service { return b.servicesByName[name] }

// normalizeHost strips the port and converts the host to lower case.
func normalizeHost(host string) string {
	hostname, _, _ := strings.Cut(host, ":")
	return strings.ToLower(hostname)
}
