package loader

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentogate.example/pimentogate/internal/transport/assembler"
)

const (
	longestLatency = 2 * time.Minute
	digits         = 3
	// saturatedLag is the send lag at p99 from which the figures tell of the loader and not of what it drives.
	saturatedLag = 5 * time.Millisecond
)

// measurer takes what became of each query.
type measurer struct {
	mutex     sync.Mutex
	shards    int
	latency   *hdrhistogram.Histogram
	refusal   *hdrhistogram.Histogram
	sendLag   *hdrhistogram.Histogram
	sent      int64
	answered  int64
	whole     int64
	coverage  float64
	needed    int64
	refused   map[string]int64
	unhinted  int64
	failures  int64
	discarded int64
}

func newMeasurer(shards int) *measurer {
	return &measurer{
		shards:  shards,
		latency: newHistogram(),
		refusal: newHistogram(),
		sendLag: newHistogram(),
		refused: map[string]int64{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), digits)
}

// took notes an answer, and its latency from the time at which the query was meant to be sent.
func (m *measurer) took(latency, sendLag time.Duration, answer *assembler.Answer, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sent++
	note(m.sendLag, sendLag)
	switch {
	case err != nil:
		m.failures++
		note(m.latency, latency)
	case answer.Status == http.StatusOK:
		m.answered++
		m.coverage += answer.Coverage
		m.needed += int64(m.shards - len(answer.MissingShards))
		if answer.CoverageMet {
			m.whole++
		}
		note(m.latency, latency)
	default:
		m.refuse(latency, answer)
	}
}

// refuse notes an answer without rows; one that is unknown has kept its caller waiting, and counts in the latency.
func (m *measurer) refuse(latency time.Duration, answer *assembler.Answer) {
	m.refused[answer.Outcome+"/"+answer.Reason]++
	if answer.RetryAfterMs == 0 {
		m.unhinted++
	}
	if answer.Outcome == "not-run" {
		note(m.refusal, latency)
		return
	}
	note(m.latency, latency)
}

// discard notes a query that was not sent since too many were open.
func (m *measurer) discard() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.discarded++
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), longestLatency).Microseconds())
}

func quantileMs(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// Result is what one policy did for one service.
type Result struct {
	Policy             string           `json:"policy"`
	Preset             string           `json:"preset"`
	Service            string           `json:"service"`
	Seed               uint64           `json:"seed"`
	LoadShare          float64          `json:"load-share"`
	Stragglers         bool             `json:"stragglers"`
	OfferedPerSecond   float64          `json:"offered-per-second"`
	Sent               int64            `json:"sent"`
	Answered           int64            `json:"answered"`
	AnsweredPerSecond  float64          `json:"answered-per-second"`
	Whole              int64            `json:"whole"`
	Coverage           float64          `json:"coverage"`
	P50Ms              float64          `json:"p50-ms"`
	P99Ms              float64          `json:"p99-ms"`
	P999Ms             float64          `json:"p99.9-ms"`
	Refused            map[string]int64 `json:"refused"`
	RefusedWithoutHint int64            `json:"refused-without-retry-after"`
	RefusalP99Ms       float64          `json:"refusal-p99-ms"`
	Failures           int64            `json:"failures"`
	SubRequests        int64            `json:"sub-requests-started"`
	Needed             int64            `json:"sub-requests-needed"`
	WorkPerAnswer      float64          `json:"upstream-work"`
	Opened             int64            `json:"connections-opened"`
	MostConnections    int64            `json:"most-connections-per-replica"`
	SendLagP99Ms       float64          `json:"send-lag-p99-ms"`
	Discarded          int64            `json:"discarded"`
	LoaderSaturated    bool             `json:"loader-saturated"`
}

// fill puts the measured figures into the result.
func (m *measurer) fill(result *Result, length time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	result.Sent = m.sent
	result.Answered = m.answered
	result.AnsweredPerSecond = float64(m.answered) / length.Seconds()
	result.Whole = m.whole
	result.Coverage = m.coverage / float64(max(m.answered, 1))
	result.P50Ms = quantileMs(m.latency, 50)
	result.P99Ms = quantileMs(m.latency, 99)
	result.P999Ms = quantileMs(m.latency, 99.9)
	result.Refused = m.refused
	result.RefusedWithoutHint = m.unhinted
	result.RefusalP99Ms = quantileMs(m.refusal, 99)
	result.Failures = m.failures
	result.Needed = m.needed
	result.SendLagP99Ms = quantileMs(m.sendLag, 99)
	result.Discarded = m.discarded
	result.LoaderSaturated = m.discarded > 0 || result.SendLagP99Ms > saturatedLag.Seconds()*1000
}
