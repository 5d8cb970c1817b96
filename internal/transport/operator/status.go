package operator

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// controlStatus is the status that a control instance reports of itself.
type controlStatus struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Role     string `json:"role"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	Error    string `json:"error,omitempty"`
}

// entryStatus is the status of an entry instance as last seen by a control instance.
type entryStatus struct {
	Instance  string `json:"instance"`
	Zone      string `json:"zone"`
	Revision  uint64 `json:"revision"`
	InForce   bool   `json:"in-force"`
	SeenMsAgo uint64 `json:"seen-ms-ago"`
}

// fleetStatus is the status of all control and entry instances as printed.
type fleetStatus struct {
	Revision uint64          `json:"revision"`
	InForce  int             `json:"in-force"`
	Leader   string          `json:"leader"`
	Controls []controlStatus `json:"controls"`
	Entries  []entryStatus   `json:"entries"`
	// DrainedZones is nil if no control instance could say which zones are drained.
	DrainedZones []string `json:"drained-zones"`
}

func (o *Operator) runStatus(flags *flag.FlagSet, arguments []string) error {
	control := addControlFlag(flags)
	asJSON := flags.Bool("json", false, "print JSON instead of tables")
	if err := launcher.ParseFlags(flags, arguments, 0); err != nil {
		return err
	}
	status, reachedCount := collectStatus(strings.Split(*control, ","))
	if reachedCount == 0 {
		return errors.New("no control instance answered")
	}
	status.addDrains()
	if *asJSON {
		return o.printJSON(status)
	}
	return o.printStatus(status)
}

// collectStatus merges the statuses reported by all control instances, and returns how many answered.
func collectStatus(addresses []string) (fleetStatus, int) {
	status := fleetStatus{
		Controls: []controlStatus{},
		Entries:  []entryStatus{},
	}
	latest := map[string]*wire.InstanceStatus{}
	term := uint64(0)
	reachedCount := 0
	for _, address := range addresses {
		response, err := callControl(address, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.StatusResponse], error) {
			return client.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		})
		if err != nil {
			status.Controls = append(status.Controls, controlStatus{
				Address: address,
				Role:    "silent",
				Error:   err.Error(),
			})
			continue
		}
		reachedCount++
		status.Controls = append(status.Controls, newControlStatus(address, response))
		status.Revision = max(status.Revision, response.GetRevision())
		if response.GetLeader() != "" && response.GetTerm() >= term {
			term = response.GetTerm()
			status.Leader = response.GetLeader()
		}
		for _, entry := range response.GetInstances() {
			previous, ok := latest[entry.GetInstance()]
			if !ok || entry.GetSeenMsAgo() < previous.GetSeenMsAgo() {
				latest[entry.GetInstance()] = entry
			}
		}
	}
	status.addEntries(latest)
	return status, reachedCount
}

func newControlStatus(address string, response *wire.StatusResponse) controlStatus {
	return controlStatus{
		Instance: response.GetInstance(),
		Address:  address,
		Role:     controlRole(response),
		Term:     response.GetTerm(),
		Revision: response.GetRevision(),
		Commit:   response.GetCommit(),
		Applied:  response.GetApplied(),
	}
}

func controlRole(response *wire.StatusResponse) string {
	if response.GetLeader() == response.GetInstance() {
		return "leader"
	}
	for _, member := range response.GetMembers() {
		if member.GetId() == response.GetInstance() && member.GetLearner() {
			return "learner"
		}
		if member.GetId() == response.GetInstance() {
			return "follower"
		}
	}
	return "no member"
}

// addEntries adds the entry instances, sorted by zone and instance. Revision must be set.
func (s *fleetStatus) addEntries(latest map[string]*wire.InstanceStatus) {
	for _, entry := range latest {
		inForce := entry.GetRevision() == s.Revision
		if inForce {
			s.InForce++
		}
		s.Entries = append(s.Entries, entryStatus{
			Instance:  entry.GetInstance(),
			Zone:      entry.GetZone(),
			Revision:  entry.GetRevision(),
			InForce:   inForce,
			SeenMsAgo: entry.GetSeenMsAgo(),
		})
	}
	slices.SortFunc(s.Entries, func(a, b entryStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Instance, b.Instance))
	})
}

func (o *Operator) printStatus(s fleetStatus) error {
	fmt.Fprintf(o.stdout, "revision %d, in force at %d of %d entry instances; leader %s\n%s\n\n", s.Revision, s.InForce, len(s.Entries), s.Leader, s.drainsLine())
	table := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTROL\tADDRESS\tROLE\tTERM\tREVISION\tCOMMIT\tAPPLIED")
	for _, c := range s.Controls {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", c.Instance, c.Address, c.Role, c.Term, c.Revision, c.Commit, c.Applied)
	}
	fmt.Fprintln(table, "\nENTRY\tZONE\tREVISION\tIN FORCE\tSEEN")
	for _, e := range s.Entries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%d ms ago\n", e.Instance, e.Zone, e.Revision, e.InForce, e.SeenMsAgo)
	}
	return table.Flush()
}
