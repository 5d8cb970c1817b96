package checker

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// ControlMember is one control instance that the first membership names.
type ControlMember struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Control is the settings of a control instance.
type Control struct {
	Instance          string          `json:"instance"`
	Zone              string          `json:"zone"`
	Listen            string          `json:"listen"`
	DataFolder        string          `json:"data-folder"`
	Members           []ControlMember `json:"members"`
	ElectionTimeoutMs int64           `json:"election-timeout-ms"`
	// OutcomesLimitMB bounds the files of outcomes, in megabytes.
	OutcomesLimitMB int64  `json:"outcomes-limit-mb,omitempty"`
	LogLevel        string `json:"log-level"`
	// Formation is set where control instances find each other by seeds in place of members.
	Formation *Formation `json:"formation,omitempty"`
	// Platform is set where a platform's own protocol is served too.
	Platform *PlatformControl `json:"platform,omitempty"`
}

// WireMembers returns the first membership as the journal holds it.
func (c *Control) WireMembers() []*wire.ControlMember {
	members := make([]*wire.ControlMember, 0, len(c.Members))
	for _, member := range c.Members {
		members = append(members, &wire.ControlMember{
			Id:      member.ID,
			Address: member.Address,
		})
	}
	return members
}

// Entry is the settings of an entry instance.
type Entry struct {
	Instance      string   `json:"instance"`
	Zone          string   `json:"zone"`
	ListenCallers string   `json:"listen-callers"`
	ListenPeers   string   `json:"listen-peers"`
	Control       []string `json:"control"`
	Peers         []string `json:"peers"`
	// ListedPeersOnly says that members which other peers name are not called.
	ListedPeersOnly bool   `json:"listed-peers-only"`
	ShutdownGraceMs int64  `json:"shutdown-grace-ms"`
	RoutingPolicy   string `json:"routing-policy"`
	LogLevel        string `json:"log-level"`
}

// Shard is one shard of a stand-in's index.
type Shard struct {
	Shard  string `json:"shard"`
	Weight uint64 `json:"weight"`
}

// Standin is the settings of a stand-in upstream.
type Standin struct {
	Upstream     string   `json:"upstream"`
	Zone         string   `json:"zone"`
	Listen       string   `json:"listen"`
	Advertise    string   `json:"advertise"`
	Entries      []string `json:"entries"`
	Service      string   `json:"service"`
	Version      uint64   `json:"version"`
	Manifest     []Shard  `json:"manifest"`
	Shards       []string `json:"shards"`
	Slots        uint32   `json:"slots"`
	Connections  uint32   `json:"connections"`
	RowsPerShard int64    `json:"rows-per-shard"`
	WorkMs       float64  `json:"work-ms"`
	Seed         uint64   `json:"seed"`
	LogLevel     string   `json:"log-level"`
	// Switches are how the stand-in behaves from its start.
	Switches *Switches `json:"switches,omitempty"`
}

const (
	defaultElectionTimeoutMs = 300
	defaultShutdownGraceMs   = 1000
	defaultOutcomesLimitMB   = 64
	defaultRoutingPolicy     = "two-choices"
	defaultLogLevel          = "info"

	allowedAddress = "an address as host:port"
)

// routingPolicies are the names that an entry instance's routing-policy may take.
var routingPolicies = []string{"round-robin", "two-choices", "owner"}

// ReadControl reads and checks the settings of a control instance; mistakes come as a MistakesError.
func ReadControl(path string) (*Control, error) {
	settings := &Control{
		ElectionTimeoutMs: defaultElectionTimeoutMs,
		OutcomesLimitMB:   defaultOutcomesLimitMB,
		LogLevel:          defaultLogLevel,
	}
	return read(path, settings, checkControl)
}

// ReadEntry reads and checks the settings of an entry instance; mistakes come as a MistakesError.
func ReadEntry(path string) (*Entry, error) {
	settings := &Entry{
		ShutdownGraceMs: defaultShutdownGraceMs,
		RoutingPolicy:   defaultRoutingPolicy,
		LogLevel:        defaultLogLevel,
	}
	return read(path, settings, checkEntry)
}

// ReadStandin reads and checks the settings of a stand-in; mistakes come as a MistakesError.
func ReadStandin(path string) (*Standin, error) {
	settings := &Standin{
		LogLevel: defaultLogLevel,
	}
	return read(path, settings, checkStandin)
}

func read[T any](path string, settings *T, check func(*walker, *T)) (*T, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	w, err := decode(source, settings)
	if err != nil {
		return nil, err
	}
	check(w, settings)
	if err := w.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func checkControl(w *walker, s *Control) {
	w.needText("instance", s.Instance)
	w.needText("zone", s.Zone)
	w.needAddress("listen", s.Listen)
	w.needText("data-folder", s.DataFolder)
	w.needLogLevel(s.LogLevel)
	w.need("election-timeout-ms", s.ElectionTimeoutMs >= 50, "at least 50")
	w.need("outcomes-limit-mb", s.OutcomesLimitMB >= 1, "at least 1")
	w.need("members", len(s.Members)%2 == 1 || s.Formation != nil, "an odd number of control instances")
	if s.Formation != nil {
		w.need("formation.seeds", len(s.Formation.Seeds) > 0, "at least one address")
		w.needAddresses("formation.seeds", s.Formation.Seeds)
	}
	if s.Platform != nil {
		w.needAddress("platform.listen", s.Platform.Listen)
		w.needAddress("platform.listen-metrics", s.Platform.ListenMetrics)
	}
	for i, member := range s.Members {
		w.needText(fmt.Sprintf("members[%d].id", i), member.ID)
		w.needAddress(fmt.Sprintf("members[%d].address", i), member.Address)
	}
}

func checkEntry(w *walker, s *Entry) {
	w.needText("instance", s.Instance)
	w.needText("zone", s.Zone)
	w.needAddress("listen-callers", s.ListenCallers)
	w.needAddress("listen-peers", s.ListenPeers)
	w.needAddresses("control", s.Control)
	w.need("control", len(s.Control) > 0, "at least one address of a control instance")
	w.needAddresses("peers", s.Peers)
	w.need("routing-policy", slices.Contains(routingPolicies, s.RoutingPolicy), `"round-robin", "two-choices" or "owner"`)
	w.need("shutdown-grace-ms", s.ShutdownGraceMs >= 0, "0 or more")
	w.needLogLevel(s.LogLevel)
}

func checkStandin(w *walker, s *Standin) {
	w.needText("upstream", s.Upstream)
	w.needText("zone", s.Zone)
	w.needAddress("listen", s.Listen)
	w.need("advertise", s.Advertise == "" || isAddress(s.Advertise), allowedAddress)
	w.needAddresses("entries", s.Entries)
	w.need("entries", len(s.Entries) > 0, "at least one address of an entry instance")
	w.needText("service", s.Service)
	w.need("version", s.Version > 0, "above 0")
	w.need("slots", s.Slots > 0, "above 0")
	w.need("connections", s.Connections > 0, "above 0")
	w.need("manifest", len(s.Manifest) > 0, "at least one shard with its weight")
	w.need("rows-per-shard", s.RowsPerShard >= 0, "0 or more")
	w.need("work-ms", s.WorkMs >= 0, "0 or more")
	w.needLogLevel(s.LogLevel)
	if s.Switches != nil {
		checkSwitches(w, "switches", s.Switches)
	}
}

func (w *walker) need(field string, ok bool, allowed string) {
	if !ok {
		w.complain(field, allowed)
	}
}

// needShares complains about shares outside 0 to 1, in the order of their names.
func (w *walker) needShares(field string, shares map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		w.need(join(field, name), shares[name] >= 0 && shares[name] <= 1, "from 0 to 1")
	}
}

func (w *walker) needPositive(field string, values map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		w.need(join(field, name), values[name] >= 0, "0 or more")
	}
}

func (w *walker) needText(field, value string) {
	w.need(field, value != "", "a string that is not empty")
}

func (w *walker) needAddress(field, value string) {
	w.need(field, isAddress(value), allowedAddress)
}

func isAddress(value string) bool {
	_, port, err := net.SplitHostPort(value)
	return err == nil && port != ""
}

func (w *walker) needAddresses(field string, values []string) {
	for i, value := range values {
		w.needAddress(fmt.Sprintf("%s[%d]", field, i), value)
	}
}

func (w *walker) needLogLevel(value string) {
	w.need("log-level", value == "info" || value == "debug", `"info" or "debug"`)
}
