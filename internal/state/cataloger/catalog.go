package cataloger

import (
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// maxResults limits how many confirm results are stored to answer resent confirm requests.
const maxResults = 4096

// Catalog is the current configuration and the results of recent confirm requests.
type Catalog struct {
	config  *wire.Config
	results []*wire.ConfirmResult
}

// New returns an empty catalog at revision 0.
func New() *Catalog {
	return &Catalog{
		config: &wire.Config{},
	}
}

// Restore returns a catalog with the contents of a snapshot. A nil config means an empty one.
func Restore(config *wire.Config, results []*wire.ConfirmResult) *Catalog {
	if config == nil {
		config = &wire.Config{}
	}
	return &Catalog{
		config:  config,
		results: results,
	}
}

// Config returns the current configuration. The caller must not modify it.
func (c *Catalog) Config() *wire.Config { return c.config }

// ConfirmResults returns the stored confirm results, oldest first.
func (c *Catalog) ConfirmResults() []*wire.ConfirmResult { return c.results }

// Confirm applies the plan of a confirm request and returns the new revision. It rejects a plan that was made
// for another revision. For a resent request it returns the first response again.
func (c *Catalog) Confirm(request *wire.ConfirmRequest) *wire.ConfirmResponse {
	if previous := c.findResult(request.GetConfirmId()); previous != nil {
		return c.repeatResponse(previous, request)
	}
	response := c.decide(request)
	c.saveResult(request, response)
	return response
}

func (c *Catalog) findResult(id string) *wire.ConfirmResult {
	for _, result := range c.results {
		if result.GetConfirmId() == id {
			return result
		}
	}
	return nil
}

func (c *Catalog) repeatResponse(previous *wire.ConfirmResult, request *wire.ConfirmRequest) *wire.ConfirmResponse {
	if previous.GetDigest() != request.GetDigest() {
		return &wire.ConfirmResponse{
			Revision: c.config.GetRevision(),
			Reason:   "confirm-id was already used for another plan",
		}
	}
	return proto.CloneOf(previous.GetResponse())
}

func (c *Catalog) decide(request *wire.ConfirmRequest) *wire.ConfirmResponse {
	if Digest(request.GetIntent(), request.GetRevision()) != request.GetDigest() {
		return c.reject("digest does not match the plan's intent and revision")
	}
	if request.GetRevision() != c.config.GetRevision() {
		response := c.reject("the configuration has changed since the plan was made; plan again")
		response.ChangedSince = c.summariesAfter(request.GetRevision())
		return response
	}
	next, err := ApplyIntent(c.config, request.GetIntent())
	if err != nil {
		return c.reject(err.Error())
	}
	c.config = next
	return &wire.ConfirmResponse{
		Accepted: true,
		Revision: next.GetRevision(),
	}
}

func (c *Catalog) reject(reason string) *wire.ConfirmResponse {
	return &wire.ConfirmResponse{
		Revision: c.config.GetRevision(),
		Reason:   reason,
	}
}

// summariesAfter returns the summaries of the changes that were accepted after the revision, oldest first, as
// far as their results are still stored.
func (c *Catalog) summariesAfter(revision uint64) []string {
	var summaries []string
	for _, result := range c.results {
		if result.GetResponse().GetAccepted() && result.GetResponse().GetRevision() > revision {
			summaries = append(summaries, result.GetSummary())
		}
	}
	return summaries
}

func (c *Catalog) saveResult(request *wire.ConfirmRequest, response *wire.ConfirmResponse) {
	c.results = append(c.results, &wire.ConfirmResult{
		ConfirmId: request.GetConfirmId(),
		Digest:    request.GetDigest(),
		Response:  proto.CloneOf(response),
		Summary:   Summary(request.GetIntent()),
	})
	if len(c.results) > maxResults {
		c.results = c.results[len(c.results)-maxResults:]
	}
}
