package checker

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// ControlMember is one control instance of the initial membership.
type ControlMember struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// ControlSettings holds the settings of a control instance.
type ControlSettings struct {
	Instance          string          `json:"instance"`
	Zone              string          `json:"zone"`
	Listen            string          `json:"listen"`
	DataFolder        string          `json:"data-folder"`
	Members           []ControlMember `json:"members"`
	ElectionTimeoutMs int64           `json:"election-timeout-ms"`
	// OutcomesLimitMB bounds the size of the outcome files, in megabytes.
	OutcomesLimitMB int64  `json:"outcomes-limit-mb,omitempty"`
	LogLevel        string `json:"log-level"`
	// Formation is set if control instances discover each other through seeds instead of Members.
	Formation *Formation `json:"formation,omitempty"`
	// Platform is set if the instance also serves a platform's own protocol.
	Platform *PlatformControl `json:"platform,omitempty"`
	// Resources is what the process may use.
	Resources Resources `json:"resources"`
}

// WireMembers returns the initial membership as stored in the journal.
func (c *ControlSettings) WireMembers() []*wire.ControlMember {
	members := make([]*wire.ControlMember, 0, len(c.Members))
	for _, member := range c.Members {
		members = append(members, &wire.ControlMember{
			Id:      member.ID,
			Address: member.Address,
		})
	}
	return members
}

// EntrySettings holds the settings of an entry instance.
type EntrySettings struct {
	Instance      string   `json:"instance"`
	Zone          string   `json:"zone"`
	ListenCallers string   `json:"listen-callers"`
	ListenPeers   string   `json:"listen-peers"`
	Control       []string `json:"control"`
	Peers         []string `json:"peers"`
	// ListedPeersOnly disables calls to entry instances that are known only from other peers.
	ListedPeersOnly bool   `json:"listed-peers-only"`
	ShutdownGraceMs int64  `json:"shutdown-grace-ms"`
	RoutingPolicy   string `json:"routing-policy"`
	LogLevel        string `json:"log-level"`
	// Resources is what the process may use.
	Resources Resources `json:"resources"`
}

// Shard is one shard of the index of a stand-in.
type Shard struct {
	Shard  string `json:"shard"`
	Weight uint64 `json:"weight"`
}

// StandinSettings holds the settings of a stand-in, a simulated upstream.
type StandinSettings struct {
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
	// Switches is the initial behavior of the stand-in.
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

// routingPolicies are the valid values of routing-policy.
var routingPolicies = []string{"round-robin", "two-choices", "owner"}

// ReadControl reads and validates the settings of a control instance; mistakes are returned as a MistakesError.
func ReadControl(path string) (*ControlSettings, error) {
	settings := &ControlSettings{
		ElectionTimeoutMs: defaultElectionTimeoutMs,
		OutcomesLimitMB:   defaultOutcomesLimitMB,
		LogLevel:          defaultLogLevel,
		Resources:         ControlResources(),
	}
	return readSettings(path, settings, checkControl)
}

// ReadEntry reads and validates the settings of an entry instance; mistakes are returned as a MistakesError.
func ReadEntry(path string) (*EntrySettings, error) {
	settings := &EntrySettings{
		ShutdownGraceMs: defaultShutdownGraceMs,
		RoutingPolicy:   defaultRoutingPolicy,
		LogLevel:        defaultLogLevel,
		Resources:       EntryResources(),
	}
	return readSettings(path, settings, checkEntry)
}

// ReadStandin reads and validates the settings of a stand-in; mistakes are returned as a MistakesError.
func ReadStandin(path string) (*StandinSettings, error) {
	settings := &StandinSettings{
		LogLevel: defaultLogLevel,
	}
	return readSettings(path, settings, checkStandin)
}

// readSettings decodes a file over the defaults in settings, and validates the result with check.
func readSettings[T any](path string, settings *T, check func(*validator, *T)) (*T, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	v, err := decode(source, settings)
	if err != nil {
		return nil, err
	}
	check(v, settings)
	if err := v.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func checkControl(v *validator, s *ControlSettings) {
	v.requireNonEmpty("instance", s.Instance)
	v.requireNonEmpty("zone", s.Zone)
	v.requireAddress("listen", s.Listen)
	v.requireNonEmpty("data-folder", s.DataFolder)
	v.requireLogLevel(s.LogLevel)
	v.require("election-timeout-ms", s.ElectionTimeoutMs >= 50, "at least 50")
	checkResources(v, &s.Resources)
	v.require("outcomes-limit-mb", s.OutcomesLimitMB >= 1, "at least 1")
	v.require("members", len(s.Members)%2 == 1 || s.Formation != nil, "an odd number of control instances")
	if s.Formation != nil {
		v.require("formation.seeds", len(s.Formation.Seeds) > 0, "at least one address")
		v.requireAddresses("formation.seeds", s.Formation.Seeds)
		v.require("formation.tolerated-losses", s.Formation.ToleratedLosses >= 0, "at least 0")
	}
	if s.Platform != nil {
		v.requireAddress("platform.listen", s.Platform.Listen)
		v.requireAddress("platform.listen-metrics", s.Platform.ListenMetrics)
	}
	for i, member := range s.Members {
		v.requireNonEmpty(fmt.Sprintf("members[%d].id", i), member.ID)
		v.requireAddress(fmt.Sprintf("members[%d].address", i), member.Address)
	}
}

func checkEntry(v *validator, s *EntrySettings) {
	v.requireNonEmpty("instance", s.Instance)
	v.requireNonEmpty("zone", s.Zone)
	v.requireAddress("listen-callers", s.ListenCallers)
	v.requireAddress("listen-peers", s.ListenPeers)
	v.requireAddresses("control", s.Control)
	v.require("control", len(s.Control) > 0, "at least one address of a control instance")
	v.requireAddresses("peers", s.Peers)
	v.require("routing-policy", slices.Contains(routingPolicies, s.RoutingPolicy), `"round-robin", "two-choices" or "owner"`)
	checkResources(v, &s.Resources)
	v.require("shutdown-grace-ms", s.ShutdownGraceMs >= 0, "0 or more")
	v.requireLogLevel(s.LogLevel)
}

func checkStandin(v *validator, s *StandinSettings) {
	v.requireNonEmpty("upstream", s.Upstream)
	v.requireNonEmpty("zone", s.Zone)
	v.requireAddress("listen", s.Listen)
	v.require("advertise", s.Advertise == "" || isAddress(s.Advertise), allowedAddress)
	v.requireAddresses("entries", s.Entries)
	v.require("entries", len(s.Entries) > 0, "at least one address of an entry instance")
	v.requireNonEmpty("service", s.Service)
	v.require("version", s.Version > 0, "above 0")
	v.require("slots", s.Slots > 0, "above 0")
	v.require("connections", s.Connections > 0, "above 0")
	v.require("manifest", len(s.Manifest) > 0, "at least one shard with its weight")
	v.require("rows-per-shard", s.RowsPerShard >= 0, "0 or more")
	v.require("work-ms", s.WorkMs >= 0, "0 or more")
	v.requireLogLevel(s.LogLevel)
	if s.Switches != nil {
		checkSwitches(v, "switches", s.Switches)
	}
}

// require records a mistake at the field unless ok.
func (v *validator) require(field string, ok bool, allowed string) {
	if !ok {
		v.addMistake(field, allowed)
	}
}

// requireProbabilities records a mistake for each value outside 0 to 1, in the order of the names, which keeps the output stable.
func (v *validator) requireProbabilities(field string, values map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		v.require(joinPath(field, name), values[name] >= 0 && values[name] <= 1, "from 0 to 1")
	}
}

// requireNonNegative records a mistake for each value below 0, in the order of the names.
func (v *validator) requireNonNegative(field string, values map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		v.require(joinPath(field, name), values[name] >= 0, "0 or more")
	}
}

func (v *validator) requireNonEmpty(field, value string) {
	v.require(field, value != "", "a string that is not empty")
}

func (v *validator) requireAddress(field, value string) {
	v.require(field, isAddress(value), allowedAddress)
}

func isAddress(value string) bool {
	_, port, err := net.SplitHostPort(value)
	return err == nil && port != ""
}

func (v *validator) requireAddresses(field string, values []string) {
	for i, value := range values {
		v.requireAddress(fmt.Sprintf("%s[%d]", field, i), value)
	}
}

func (v *validator) requireLogLevel(value string) {
	v.require("log-level", value == "info" || value == "debug", `"info" or "debug"`)
}
