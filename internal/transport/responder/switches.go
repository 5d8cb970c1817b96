package responder

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

// maxSwitchesBytes limits the body of a POST to /switches.
const maxSwitchesBytes = 1 << 20

// simulator holds the current switches and draws random faults and work times from them.
type simulator struct {
	mutex         sync.Mutex
	current       checker.Switches
	random        *rand.Rand
	coldStartedAt time.Time
}

func newSimulator(settings *checker.StandinSettings) *simulator {
	sim := &simulator{
		random:        rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		coldStartedAt: time.Now(),
	}
	if settings.Switches != nil {
		sim.current = *settings.Switches
	}
	if sim.current.WorkMs == 0 {
		sim.current.WorkMs = settings.WorkMs
	}
	if len(sim.current.Versions) == 0 {
		sim.current.Versions = []checker.HeldVersion{{
			Version:  settings.Version,
			Manifest: settings.Manifest,
			Shards:   settings.Shards,
		}}
	}
	return sim
}

func (sim *simulator) switches() checker.Switches {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.current
}

// update replaces the switches that the JSON source names. A cold start begins again if its duration or factor changed.
func (sim *simulator) update(source []byte) (checker.Switches, error) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	next, err := checker.DecodeSwitches(source, sim.current)
	if err != nil {
		return next, err
	}
	if next.ColdStartMs != sim.current.ColdStartMs || next.ColdStartFactor != sim.current.ColdStartFactor {
		sim.coldStartedAt = time.Now()
	}
	sim.current = next
	return next, nil
}

// occurs reports whether an event of the given probability happens this time.
func (sim *simulator) occurs(probability float64) bool {
	if probability <= 0 {
		return false
	}
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.random.Float64() < probability
}

// drawWorkTime returns a random log-normal work time with the median WorkMs, multiplied by a slowdown while the stand-in straggles or is cold.
func (sim *simulator) drawWorkTime(now time.Time) time.Duration {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	s := &sim.current
	ms := s.WorkMs
	if s.WorkSigma > 0 {
		ms *= math.Exp(s.WorkSigma * sim.random.NormFloat64())
	}
	ms *= stragglerFactor(s, now) * coldStartFactor(s, now.Sub(sim.coldStartedAt))
	return fromMilliseconds(ms)
}

// stragglerFactor returns the current slowdown of a straggler, or 1. It depends on the wall clock, so that the stand-ins of one shard can be configured to straggle at different times.
func stragglerFactor(s *checker.Switches, now time.Time) float64 {
	if s.StragglerFactor <= 0 || s.StragglerPeriodMs <= 0 {
		return 1
	}
	phaseMs := (now.UnixMilli() + s.StragglerOffsetMs) % s.StragglerPeriodMs
	if phaseMs >= s.StragglerDurationMs {
		return 1
	}
	return s.StragglerFactor
}

// coldStartFactor returns a slowdown that falls linearly from the configured factor to 1 over the cold start.
func coldStartFactor(s *checker.Switches, age time.Duration) float64 {
	duration := time.Duration(s.ColdStartMs) * time.Millisecond
	if s.ColdStartFactor <= 1 || age >= duration {
		return 1
	}
	remaining := 1 - float64(age)/float64(duration)
	return 1 + (s.ColdStartFactor-1)*remaining
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// serveSwitches changes the given switches on POST, and returns all current switches on GET and POST.
func (r *Responder) serveSwitches(w http.ResponseWriter, request *http.Request) {
	current := r.simulator.switches()
	if request.Method == http.MethodPost {
		source, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxSwitchesBytes))
		if err == nil {
			current, err = r.simulator.update(source)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.log.Info("switched", "switches", string(source))
		r.announcer.Change(r.announcement())
	}
	writeJSON(w, current)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
