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

const maxSwitches = 1 << 20

// switchboard holds the switches in force and draws the dice for their shares.
type switchboard struct {
	mutex    sync.Mutex
	current  checker.Switches
	random   *rand.Rand
	coldFrom time.Time
}

func newSwitchboard(settings *checker.StandinSettings) *switchboard {
	b := &switchboard{
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		coldFrom: time.Now(),
	}
	if settings.Switches != nil {
		b.current = *settings.Switches
	}
	if b.current.WorkMs == 0 {
		b.current.WorkMs = settings.WorkMs
	}
	if len(b.current.Versions) == 0 {
		b.current.Versions = []checker.HeldVersion{{
			Version:  settings.Version,
			Manifest: settings.Manifest,
			Shards:   settings.Shards,
		}}
	}
	return b
}

func (b *switchboard) get() checker.Switches {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.current
}

// set puts the given switches in place of the current ones; a cold start begins anew where one is given.
func (b *switchboard) set(source []byte) (checker.Switches, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next, err := checker.DecodeSwitches(source, b.current)
	if err != nil {
		return next, err
	}
	if next.ColdStartMs != b.current.ColdStartMs || next.ColdStartFactor != b.current.ColdStartFactor {
		b.coldFrom = time.Now()
	}
	b.current = next
	return next, nil
}

// hit draws whether a share applies this time.
func (b *switchboard) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.random.Float64() < share
}

// workTime draws how long one piece of work takes: log-normal, longer while straggling or cold.
func (b *switchboard) workTime(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := &b.current
	ms := s.WorkMs
	if s.WorkSigma > 0 {
		ms *= math.Exp(s.WorkSigma * b.random.NormFloat64())
	}
	ms *= stragglerFactor(s, now) * coldFactor(s, now.Sub(b.coldFrom))
	return milliseconds(ms)
}

// stragglerFactor follows the wall clock, so that the stand-ins of a shard can be given times that never meet.
func stragglerFactor(s *checker.Switches, now time.Time) float64 {
	if s.StragglerFactor <= 0 || s.StragglerPeriodMs <= 0 {
		return 1
	}
	at := (now.UnixMilli() + s.StragglerOffsetMs) % s.StragglerPeriodMs
	if at >= s.StragglerDurationMs {
		return 1
	}
	return s.StragglerFactor
}

// coldFactor falls from the cold start's factor to one while the cold start lasts.
func coldFactor(s *checker.Switches, age time.Duration) float64 {
	length := time.Duration(s.ColdStartMs) * time.Millisecond
	if s.ColdStartFactor <= 1 || age >= length {
		return 1
	}
	left := 1 - float64(age)/float64(length)
	return 1 + (s.ColdStartFactor-1)*left
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// serveSwitches takes switches with POST, and shows those in force with GET and after a POST.
func (r *Responder) serveSwitches(w http.ResponseWriter, request *http.Request) {
	current := r.board.get()
	if request.Method == http.MethodPost {
		source, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxSwitches))
		if err == nil {
			current, err = r.board.set(source)
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
