package checker

import (
	"encoding/json"
	"fmt"
)

// HeldVersion is an index version of which a stand-in holds shards.
type HeldVersion struct {
	Version  uint64   `json:"version"`
	Manifest []Shard  `json:"manifest"`
	Shards   []string `json:"shards"`
}

// Switches configures the behavior of a stand-in, faults included; each can be changed at run time, and the fields named share in JSON are probabilities from 0 to 1.
type Switches struct {
	Versions []HeldVersion `json:"versions,omitempty"`
	// WorkMs is the median work time, and WorkSigma the standard deviation of its logarithm.
	WorkMs    float64 `json:"work-ms"`
	WorkSigma float64 `json:"work-sigma"`
	// StragglerFactor multiplies the work time during the first StragglerDurationMs of each StragglerPeriodMs. The periods follow the wall clock, shifted by StragglerOffsetMs.
	StragglerFactor     float64 `json:"straggler-factor"`
	StragglerPeriodMs   int64   `json:"straggler-period-ms"`
	StragglerDurationMs int64   `json:"straggler-duration-ms"`
	StragglerOffsetMs   int64   `json:"straggler-offset-ms"`
	// ColdStartFactor multiplies the work time at the start, and again after ColdStartFactor or ColdStartMs has changed; it falls linearly to 1 over ColdStartMs.
	ColdStartFactor  float64 `json:"cold-start-factor"`
	ColdStartMs      int64   `json:"cold-start-ms"`
	ShedShare        float64 `json:"shed-share"`
	ShedAboveQueued  int64   `json:"shed-above-queued"`
	RetryAfterMs     uint32  `json:"retry-after-ms"`
	AbortBeforeStart float64 `json:"abort-before-start-share"`
	AbortAfterStart  float64 `json:"abort-after-start-share"`
	FailAfterStart   float64 `json:"fail-after-start-share"`
	CutReply         float64 `json:"cut-reply-share"`
	DropRows         float64 `json:"drop-rows-share"`
	RepeatRows       float64 `json:"repeat-rows-share"`
	WrongVersion     float64 `json:"wrong-version-share"`
	// OtherAttempt is the probability that a search is answered with the reply to the previous one.
	OtherAttempt float64 `json:"other-attempt-share"`
	// ReplyPastCancelMs is how long after its cancellation a search that has started still completes; 0 ends it at once.
	ReplyPastCancelMs int64 `json:"reply-past-cancel-ms"`
	// ReportFixed makes replies report the load as ReportInFlight and ReportQueued; otherwise a reported load is reused for ReportLagMs.
	ReportFixed         bool    `json:"report-fixed"`
	ReportInFlight      uint32  `json:"report-in-flight"`
	ReportQueued        uint32  `json:"report-queued"`
	ReportLagMs         int64   `json:"report-lag-ms"`
	ConnectionLimit     uint32  `json:"connection-limit"`
	ConnectionOpeningMs float64 `json:"connection-opening-ms"`
	OneWayMs            float64 `json:"one-way-ms"`
	// LeavingAnnounced and LeavingMarked set the leaving mark in announcements and in replies; LeavingRefused refuses requests as leaving.
	LeavingAnnounced     bool `json:"leaving-announced"`
	LeavingMarked        bool `json:"leaving-marked"`
	LeavingRefused       bool `json:"leaving-refused"`
	AnnouncementsStopped bool `json:"announcements-stopped"`
	// AnnounceTo lists the addresses of the entry instances to which announcements are sent; empty means all.
	AnnounceTo []string `json:"announce-to,omitempty"`
}

// DecodeSwitches returns the current switches overridden by those in the source; mistakes are returned as a MistakesError.
func DecodeSwitches(source []byte, current Switches) (Switches, error) {
	var overrides map[string]json.RawMessage
	v, err := decode(source, &Switches{})
	if err != nil {
		return current, err
	}
	if err := v.err(); err != nil {
		return current, err
	}
	if err := json.Unmarshal(v.standardJSON, &overrides); err != nil {
		return current, fmt.Errorf("switches: %w", err)
	}
	encoded, err := json.Marshal(current)
	if err != nil {
		return current, fmt.Errorf("switches: %w", err)
	}
	merged := map[string]json.RawMessage{}
	if err := json.Unmarshal(encoded, &merged); err != nil {
		return current, fmt.Errorf("switches: %w", err)
	}
	for name, value := range overrides {
		merged[name] = value
	}
	encoded, err = json.Marshal(merged)
	if err != nil {
		return current, fmt.Errorf("switches: %w", err)
	}
	var next Switches
	if err := json.Unmarshal(encoded, &next); err != nil {
		return current, fmt.Errorf("switches: %w", err)
	}
	checkSwitches(v, "", &next)
	if err := v.err(); err != nil {
		return current, err
	}
	return next, nil
}

func checkSwitches(v *validator, field string, s *Switches) {
	for i, held := range s.Versions {
		path := joinPath(field, fmt.Sprintf("versions[%d]", i))
		v.require(joinPath(path, "version"), held.Version > 0, "above 0")
		v.require(joinPath(path, "manifest"), len(held.Manifest) > 0, "at least one shard with its weight")
	}
	v.requireProbabilities(field, map[string]float64{
		"shed-share":               s.ShedShare,
		"abort-before-start-share": s.AbortBeforeStart,
		"abort-after-start-share":  s.AbortAfterStart,
		"fail-after-start-share":   s.FailAfterStart,
		"cut-reply-share":          s.CutReply,
		"drop-rows-share":          s.DropRows,
		"repeat-rows-share":        s.RepeatRows,
		"wrong-version-share":      s.WrongVersion,
		"other-attempt-share":      s.OtherAttempt,
	})
	v.requireNonNegative(field, map[string]float64{
		"work-ms":               s.WorkMs,
		"work-sigma":            s.WorkSigma,
		"straggler-factor":      s.StragglerFactor,
		"straggler-period-ms":   float64(s.StragglerPeriodMs),
		"straggler-duration-ms": float64(s.StragglerDurationMs),
		"straggler-offset-ms":   float64(s.StragglerOffsetMs),
		"cold-start-factor":     s.ColdStartFactor,
		"cold-start-ms":         float64(s.ColdStartMs),
		"shed-above-queued":     float64(s.ShedAboveQueued),
		"reply-past-cancel-ms":  float64(s.ReplyPastCancelMs),
		"report-lag-ms":         float64(s.ReportLagMs),
		"connection-opening-ms": s.ConnectionOpeningMs,
		"one-way-ms":            s.OneWayMs,
	})
	for i, address := range s.AnnounceTo {
		v.requireAddress(joinPath(field, fmt.Sprintf("announce-to[%d]", i)), address)
	}
}
