package checker

// Forwarder is the settings of an entry instance that forwards to replicas which control instances have enrolled.
type Forwarder struct {
	Instance        string `json:"instance"`
	Zone            string `json:"zone"`
	ListenCallers   string `json:"listen-callers"`
	ListenReadiness string `json:"listen-readiness"`
	ListenMetrics   string `json:"listen-metrics"`
	// ListenPeers is where entry instances of other availability zones have attempts carried to replicas of this one; empty for not at all.
	ListenPeers string `json:"listen-peers,omitempty"`
	// ControlSeeds name hosts with a control instance as host:port; the port is another interface's, only the hosts count.
	ControlSeeds []string `json:"control-seeds"`
	// ControlPeers is any host with the port at which control instances serve entry instances.
	ControlPeers string `json:"control-peers"`
	// RepeatRatio, RepeatBurst and RepeatWindowMs bound the repeats to a service by all instances together.
	RepeatRatio    float64 `json:"repeat-ratio"`
	RepeatBurst    float64 `json:"repeat-burst"`
	RepeatWindowMs int64   `json:"repeat-window-ms"`
	// CallerAllowanceMs is the time that a request and its answer take on the way between the caller and here.
	CallerAllowanceMs int64 `json:"caller-allowance-ms"`
	// DrainMs is how long callers are still served after the instance was told to end, 0 for half of the grace, and GraceMs when it must have ended.
	DrainMs  int64  `json:"drain-ms"`
	GraceMs  int64  `json:"grace-ms"`
	LogLevel string `json:"log-level"`
}

const (
	defaultRepeatRatio       = 0.05
	defaultRepeatBurst       = 20
	defaultRepeatWindowMs    = 10_000
	defaultCallerAllowanceMs = 13
	defaultGraceMs           = 6_000
)

// ReadForwarder reads and checks the settings of an entry instance that forwards; mistakes come as a MistakesError.
func ReadForwarder(path string) (*Forwarder, error) {
	settings := &Forwarder{
		RepeatRatio:       defaultRepeatRatio,
		RepeatBurst:       defaultRepeatBurst,
		RepeatWindowMs:    defaultRepeatWindowMs,
		CallerAllowanceMs: defaultCallerAllowanceMs,
		GraceMs:           defaultGraceMs,
		LogLevel:          defaultLogLevel,
	}
	return read(path, settings, checkForwarder)
}

func checkForwarder(w *walker, s *Forwarder) {
	w.needText("instance", s.Instance)
	w.needText("zone", s.Zone)
	w.needAddress("listen-callers", s.ListenCallers)
	w.needAddress("listen-readiness", s.ListenReadiness)
	w.needAddress("listen-metrics", s.ListenMetrics)
	w.need("listen-peers", s.ListenPeers == "" || isAddress(s.ListenPeers), allowedAddress)
	w.need("control-seeds", len(s.ControlSeeds) > 0, "at least one address")
	w.needAddresses("control-seeds", s.ControlSeeds)
	w.needAddress("control-peers", s.ControlPeers)
	w.need("repeat-ratio", s.RepeatRatio >= 0, "0 or more")
	w.need("repeat-burst", s.RepeatBurst >= 0, "0 or more")
	w.need("repeat-window-ms", s.RepeatWindowMs > 0, "above 0")
	w.need("caller-allowance-ms", s.CallerAllowanceMs >= 0, "0 or more")
	w.need("drain-ms", s.DrainMs >= 0, "0 or more")
	w.need("grace-ms", s.GraceMs > s.DrainMs, "above drain-ms")
	w.needLogLevel(s.LogLevel)
}
