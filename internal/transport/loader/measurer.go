package loader

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentogate.example/pimentogate/internal/transport/assembler"
)

const (
	maxLatency        = 2 * time.Minute
	significantDigits = 3
	// saturationSendLag is the 99th percentile of the send lag above which the loader itself distorts the results.
	saturationSendLag = 5 * time.Millisecond
)

// measurer collects the outcomes and latencies of the queries to one service.
type measurer struct {
	mutex                    sync.Mutex
	shards                   int
	latency                  *hdrhistogram.Histogram
	refusalLatency           *hdrhistogram.Histogram
	sendLag                  *hdrhistogram.Histogram
	sent                     int64
	answered                 int64
	coverageMet              int64
	coverageSum              float64
	neededSubRequests        int64
	refusedByReason          map[string]int64
	refusedWithoutRetryAfter int64
	failures                 int64
	discarded                int64
}

func newMeasurer(shards int) *measurer {
	return &measurer{
		shards:          shards,
		latency:         newHistogram(),
		refusalLatency:  newHistogram(),
		sendLag:         newHistogram(),
		refusedByReason: map[string]int64{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// recordAnswer counts an answer or error. Latency counts from the intended send time of the query.
func (m *measurer) recordAnswer(latency, sendLag time.Duration, answer *assembler.Answer, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sent++
	recordDuration(m.sendLag, sendLag)
	switch {
	case err != nil:
		m.failures++
		recordDuration(m.latency, latency)
	case answer.Status == http.StatusOK:
		m.answered++
		m.coverageSum += answer.Coverage
		m.neededSubRequests += int64(m.shards - len(answer.MissingShards))
		if answer.CoverageMet {
			m.coverageMet++
		}
		recordDuration(m.latency, latency)
	default:
		m.recordRefusal(latency, answer)
	}
}

// recordRefusal counts an answer with an error status. The time of a query that was not run counts in the refusal latency. With any other outcome the caller has waited for a result, so the time counts in the latency of queries.
func (m *measurer) recordRefusal(latency time.Duration, answer *assembler.Answer) {
	m.refusedByReason[answer.Outcome+"/"+answer.Reason]++
	if answer.RetryAfterMs == 0 {
		m.refusedWithoutRetryAfter++
	}
	if answer.Outcome == "not-run" {
		recordDuration(m.refusalLatency, latency)
		return
	}
	recordDuration(m.latency, latency)
}

// recordDiscard counts a query that was not sent because too many were in flight.
func (m *measurer) recordDiscard() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.discarded++
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), maxLatency).Microseconds())
}

func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// Result holds the figures of one policy for one service.
type Result struct {
	Policy                    string           `json:"policy"`
	Preset                    string           `json:"preset"`
	Service                   string           `json:"service"`
	Seed                      uint64           `json:"seed"`
	LoadShare                 float64          `json:"load-share"`
	Stragglers                bool             `json:"stragglers"`
	OfferedPerSecond          float64          `json:"offered-per-second"`
	Sent                      int64            `json:"sent"`
	Answered                  int64            `json:"answered"`
	AnsweredPerSecond         float64          `json:"answered-per-second"`
	CoverageMet               int64            `json:"whole"`
	Coverage                  float64          `json:"coverage"`
	P50Ms                     float64          `json:"p50-ms"`
	P99Ms                     float64          `json:"p99-ms"`
	P999Ms                    float64          `json:"p99.9-ms"`
	Refused                   map[string]int64 `json:"refused"`
	RefusedWithoutRetryAfter  int64            `json:"refused-without-retry-after"`
	RefusalP99Ms              float64          `json:"refusal-p99-ms"`
	Failures                  int64            `json:"failures"`
	SubRequestsStarted        int64            `json:"sub-requests-started"`
	SubRequestsNeeded         int64            `json:"sub-requests-needed"`
	UpstreamWork              float64          `json:"upstream-work"`
	ConnectionsOpened         int64            `json:"connections-opened"`
	PeakConnectionsPerReplica int64            `json:"most-connections-per-replica"`
	SendLagP99Ms              float64          `json:"send-lag-p99-ms"`
	Discarded                 int64            `json:"discarded"`
	LoaderSaturated           bool             `json:"loader-saturated"`
}

// fillResult sets the figures that the measurer collected over the duration.
func (m *measurer) fillResult(result *Result, duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	result.Sent = m.sent
	result.Answered = m.answered
	result.AnsweredPerSecond = float64(m.answered) / duration.Seconds()
	result.CoverageMet = m.coverageMet
	result.Coverage = m.coverageSum / float64(max(m.answered, 1))
	result.P50Ms = percentileMs(m.latency, 50)
	result.P99Ms = percentileMs(m.latency, 99)
	result.P999Ms = percentileMs(m.latency, 99.9)
	result.Refused = m.refusedByReason
	result.RefusedWithoutRetryAfter = m.refusedWithoutRetryAfter
	result.RefusalP99Ms = percentileMs(m.refusalLatency, 99)
	result.Failures = m.failures
	result.SubRequestsNeeded = m.neededSubRequests
	result.SendLagP99Ms = percentileMs(m.sendLag, 99)
	result.Discarded = m.discarded
	result.LoaderSaturated = m.discarded > 0 || result.SendLagP99Ms > saturationSendLag.Seconds()*1000
}
