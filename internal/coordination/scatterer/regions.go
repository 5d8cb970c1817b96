package scatterer

import (
	"slices"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

// IsRegional reports whether the request may go to some regions only.
func (r *Request) IsRegional() bool {
	return len(r.Route.HomeRegions) > 0 || r.Organisation != nil && len(r.Organisation.HomeRegions) > 0
}

// AllowsRegion reports whether the request may go to the region by the home regions of both its route and its organisation. A region that is not known, which is empty, is allowed only if neither has home regions.
func (r *Request) AllowsRegion(region string) bool {
	if !isHome(r.Route.HomeRegions, region) {
		return false
	}
	return r.Organisation == nil || isHome(r.Organisation.HomeRegions, region)
}

func isHome(homeRegions []string, region string) bool {
	return len(homeRegions) == 0 || region != "" && slices.Contains(homeRegions, region)
}

// allowsReplica reports whether the request may go to the replica's region.
func (j *Job) allowsReplica(r *balancer.ReplicaState) bool {
	return !j.isRegional || j.request.AllowsRegion(j.policies.ZoneRegions[r.Zone])
}
