package checker

// ForwarderSettings holds the settings of an entry instance that forwards requests to replicas enrolled at control instances.
type ForwarderSettings struct {
	Instance        string `json:"instance"`
	Zone            string `json:"zone"`
	ListenCallers   string `json:"listen-callers"`
	ListenReadiness string `json:"listen-readiness"`
	ListenMetrics   string `json:"listen-metrics"`
	// ListenPeers is the address at which entry instances of other availability zones have attempts relayed to replicas of this zone; empty disables it.
	ListenPeers string `json:"listen-peers,omitempty"`
	// ControlSeeds are hosts of control instances as host:port; the port belongs to another interface and is ignored.
	ControlSeeds []string `json:"control-seeds"`
	// ControlPeers is any host with the port at which control instances serve entry instances; the host is ignored.
	ControlPeers string `json:"control-peers"`
	// RepeatRatio, RepeatBurst and RepeatWindowMs configure the retry budget of a service, which all instances share.
	RepeatRatio    float64 `json:"repeat-ratio"`
	RepeatBurst    float64 `json:"repeat-burst"`
	RepeatWindowMs int64   `json:"repeat-window-ms"`
	// CallerAllowanceMs is the time reserved for the network between the caller and this instance, in both directions.
	CallerAllowanceMs int64 `json:"caller-allowance-ms"`
	// DrainMs is how long callers are still served after the shutdown signal, 0 meaning half of GraceMs; GraceMs is the time limit for the whole shutdown.
	DrainMs  int64  `json:"drain-ms"`
	GraceMs  int64  `json:"grace-ms"`
	LogLevel string `json:"log-level"`
	// ZoneRegions maps each availability zone of the deployment to its region; empty if unknown.
	ZoneRegions map[string]string `json:"zone-regions,omitempty"`
	// FirstStart is set if the whole deployment starts for the first time, so that no allotment has been used.
	FirstStart bool `json:"first-start"`
	// AllotmentWindowMs, AllotmentOverage and AllotmentTolerance state by how much the requests of an organisation may exceed its allotment: in a window, by the share AllotmentOverage and by AllotmentTolerance requests.
	AllotmentWindowMs  int64   `json:"allotment-window-ms"`
	AllotmentOverage   float64 `json:"allotment-overage"`
	AllotmentTolerance float64 `json:"allotment-tolerance"`
	// ColdOverage and ColdTolerance state by how much the requests at a cold replica may exceed its rate in a second: to that factor, and by ColdTolerance requests.
	ColdOverage   float64 `json:"cold-overage"`
	ColdTolerance float64 `json:"cold-tolerance"`
	// Resources is what the process may use.
	Resources Resources `json:"resources"`
}

const (
	defaultRepeatRatio       = 0.05
	defaultRepeatBurst       = 20
	defaultRepeatWindowMs    = 10_000
	defaultCallerAllowanceMs = 13
	defaultGraceMs           = 6_000
	defaultAllotmentWindowMs = 5_000
	defaultColdOverage       = 1
)

// ReadForwarder reads and validates the settings of a forwarding entry instance; mistakes are returned as a MistakesError.
func ReadForwarder(path string) (*ForwarderSettings, error) {
	settings := &ForwarderSettings{
		RepeatRatio:       defaultRepeatRatio,
		RepeatBurst:       defaultRepeatBurst,
		RepeatWindowMs:    defaultRepeatWindowMs,
		CallerAllowanceMs: defaultCallerAllowanceMs,
		GraceMs:           defaultGraceMs,
		LogLevel:          defaultLogLevel,
		AllotmentWindowMs: defaultAllotmentWindowMs,
		ColdOverage:       defaultColdOverage,
		Resources:         EntryResources(),
	}
	return readSettings(path, settings, checkForwarder)
}

func checkForwarder(v *validator, s *ForwarderSettings) {
	v.requireNonEmpty("instance", s.Instance)
	v.requireNonEmpty("zone", s.Zone)
	v.requireAddress("listen-callers", s.ListenCallers)
	v.requireAddress("listen-readiness", s.ListenReadiness)
	v.requireAddress("listen-metrics", s.ListenMetrics)
	v.require("listen-peers", s.ListenPeers == "" || isAddress(s.ListenPeers), allowedAddress)
	v.require("control-seeds", len(s.ControlSeeds) > 0, "at least one address")
	v.requireAddresses("control-seeds", s.ControlSeeds)
	v.requireAddress("control-peers", s.ControlPeers)
	v.require("repeat-ratio", s.RepeatRatio >= 0, "0 or more")
	v.require("repeat-burst", s.RepeatBurst >= 0, "0 or more")
	v.require("repeat-window-ms", s.RepeatWindowMs > 0, "above 0")
	v.require("caller-allowance-ms", s.CallerAllowanceMs >= 0, "0 or more")
	v.require("drain-ms", s.DrainMs >= 0, "0 or more")
	v.require("grace-ms", s.GraceMs > s.DrainMs, "above drain-ms")
	v.require("allotment-window-ms", s.AllotmentWindowMs > 0, "above 0")
	v.require("allotment-overage", s.AllotmentOverage >= 0, "0 or more")
	v.require("allotment-tolerance", s.AllotmentTolerance >= 0, "0 or more")
	v.require("cold-overage", s.ColdOverage >= 1, "at least 1")
	v.require("cold-tolerance", s.ColdTolerance >= 0, "0 or more")
	v.requireLogLevel(s.LogLevel)
	checkResources(v, &s.Resources)
}
