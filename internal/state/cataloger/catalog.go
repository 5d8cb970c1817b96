package cataloger

import (
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// maxConfirms is how many answered confirms are remembered for their resends.
const maxConfirms = 4096

// Catalog is the configuration and the confirms that led to it.
type Catalog struct {
	config   *wire.Config
	confirms []*wire.ConfirmResult
}

// New returns an empty catalog at revision 0.
func New() *Catalog {
	return &Catalog{
		config: &wire.Config{},
	}
}

// Restore returns the catalog that a snapshot holds.
func Restore(config *wire.Config, confirms []*wire.ConfirmResult) *Catalog {
	if config == nil {
		config = &wire.Config{}
	}
	return &Catalog{
		config:   config,
		confirms: confirms,
	}
}

// Config returns the configuration in force, which the caller must not change.
func (c *Catalog) Config() *wire.Config { return c.config }

// Confirms returns the remembered confirms, oldest first.
func (c *Catalog) Confirms() []*wire.ConfirmResult { return c.confirms }

// Confirm decides on one confirm: the first answer again for a resend, a refusal where the revision has moved, else the next revision.
func (c *Catalog) Confirm(ask *wire.ConfirmRequest) *wire.ConfirmResponse {
	if known := c.find(ask.GetConfirmId()); known != nil {
		return c.answerAgain(known, ask)
	}
	response := c.decide(ask)
	c.remember(ask, response)
	return response
}

func (c *Catalog) find(id string) *wire.ConfirmResult {
	for _, known := range c.confirms {
		if known.GetConfirmId() == id {
			return known
		}
	}
	return nil
}

func (c *Catalog) answerAgain(known *wire.ConfirmResult, ask *wire.ConfirmRequest) *wire.ConfirmResponse {
	if known.GetDigest() != ask.GetDigest() {
		return &wire.ConfirmResponse{
			Revision: c.config.GetRevision(),
			Reason:   "confirm-id was already used for another plan",
		}
	}
	return proto.CloneOf(known.GetResponse())
}

func (c *Catalog) decide(ask *wire.ConfirmRequest) *wire.ConfirmResponse {
	if Digest(ask.GetIntent(), ask.GetRevision()) != ask.GetDigest() {
		return c.refuse("digest does not match the plan's intent and revision")
	}
	if ask.GetRevision() != c.config.GetRevision() {
		response := c.refuse("the configuration has changed since the plan was made; plan again")
		response.ChangedSince = c.since(ask.GetRevision())
		return response
	}
	next, err := Change(c.config, ask.GetIntent())
	if err != nil {
		return c.refuse(err.Error())
	}
	c.config = next
	return &wire.ConfirmResponse{
		Accepted: true,
		Revision: next.GetRevision(),
	}
}

func (c *Catalog) refuse(reason string) *wire.ConfirmResponse {
	return &wire.ConfirmResponse{
		Revision: c.config.GetRevision(),
		Reason:   reason,
	}
}

// since returns what was confirmed after the revision, oldest first.
func (c *Catalog) since(revision uint64) []string {
	var changes []string
	for _, known := range c.confirms {
		if known.GetResponse().GetAccepted() && known.GetResponse().GetRevision() > revision {
			changes = append(changes, known.GetSummary())
		}
	}
	return changes
}

func (c *Catalog) remember(ask *wire.ConfirmRequest, response *wire.ConfirmResponse) {
	c.confirms = append(c.confirms, &wire.ConfirmResult{
		ConfirmId: ask.GetConfirmId(),
		Digest:    ask.GetDigest(),
		Response:  proto.CloneOf(response),
		Summary:   Summary(ask.GetIntent()),
	})
	if len(c.confirms) > maxConfirms {
		c.confirms = c.confirms[len(c.confirms)-maxConfirms:]
	}
}
