package forwarder

import (
	"context"
	"math"
	"strings"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// The refusals of requests that have no route or no place in the configuration.
const (
	refusalNoConfiguration = "no-configuration"
	refusalNoRoute         = "no-route"
	refusalUnauthorized    = "unauthorized"
)

// Explain tells where this instance would send a request now. Nothing is sent or charged.
func (s *relayService) Explain(_ context.Context, request *connect.Request[wire.ExplainRequest]) (*connect.Response[wire.ExplainResponse], error) {
	return connect.NewResponse(s.forwarder.explain(request.Msg)), nil
}

func (f *Forwarder) explain(message *wire.ExplainRequest) *wire.ExplainResponse {
	response := &wire.ExplainResponse{}
	table := f.routingTable.Load()
	if table == nil {
		response.Refusal = refusalNoConfiguration
		return response
	}
	response.Version = table.Version
	path, _, _ := strings.Cut(message.GetPath(), "?")
	route := table.Match(message.GetHost(), path)
	if route == nil {
		response.Refusal = refusalNoRoute
		return response
	}
	response.Route = route.Name
	organisation, isAuthorized := findOrganisation(table, route, message.GetOrganisation())
	if !isAuthorized {
		response.Refusal = refusalUnauthorized
		return response
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	explanation := scatterer.Explain(now, scatterer.Request{
		Route:        route,
		ArrivedAt:    now,
		Organisation: organisation,
	}, f.policies)
	response.Refusal = string(explanation.Refusal)
	response.RetryAfterUs = microseconds(explanation.RetryAfter)
	response.ExpectedWorkUs = microseconds(explanation.ExpectedWork)
	for i := range explanation.Shards {
		response.Shards = append(response.Shards, explainedShardToWire(&explanation.Shards[i]))
	}
	return response
}

// findOrganisation returns the organisation with the name, and whether a request of it, or of none if the name is empty, may use the route.
func findOrganisation(table *matcher.RoutingTable, route *matcher.Route, name string) (*matcher.Organisation, bool) {
	if table.Keyring == nil {
		return nil, true
	}
	if organisation := table.Keyring.FindByName(name); organisation != nil {
		return organisation, true
	}
	return nil, route.IsPublic
}

func explainedShardToWire(shard *scatterer.ExplainedShard) *wire.ExplainedShard {
	message := &wire.ExplainedShard{
		Service:         shard.Service,
		RetryBudgetLeft: shard.RetryBudgetLeft,
	}
	for i := range shard.Candidates {
		replica := candidateToWire(&shard.Candidates[i])
		replica.Chosen = i == shard.Chosen
		message.Replicas = append(message.Replicas, replica)
	}
	return message
}

func candidateToWire(c *balancer.Candidate) *wire.ExplainedReplica {
	return &wire.ExplainedReplica{
		Replica:         c.Replica.ID,
		Zone:            c.Replica.Zone,
		ExpectedUs:      microseconds(c.Cost.Total()),
		WorkUs:          microseconds(c.Cost.Work),
		WaitUs:          microseconds(c.Cost.Wait + c.Cost.Avoided),
		ZoneUs:          microseconds(c.Cost.Zone),
		RejectionUs:     microseconds(c.Cost.Repeats),
		SlownessPercent: uint32(math.Round(100 * c.Cost.Slowness)),
		InFlight:        uint32(c.Replica.InFlight()),
		Excluded:        c.Excluded,
	}
}

func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }
