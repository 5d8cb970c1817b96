package logger

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Bounds limits how much a process logs.
type Bounds struct {
	// NormalBytesPerSecond limits the lines of V(0) and errors, SampledBytesPerSecond those of V(1) and
	// above.
	NormalBytesPerSecond  int
	SampledBytesPerSecond int
	// BurstSeconds is the burst size of both limits, in seconds at the full rate.
	BurstSeconds int
	// QueueCapacity is the maximum number of lines that wait to be written; further lines are dropped.
	QueueCapacity int
}

// DefaultBounds keep logging below 1% of a core and below 200 MB of disk per hour.
var DefaultBounds = Bounds{
	NormalBytesPerSecond:  32 << 10,
	SampledBytesPerSecond: 16 << 10,
	BurstSeconds:          4,
	QueueCapacity:         1024,
}

// dropReportPeriod is how often the number of dropped lines is logged.
const dropReportPeriod = 5 * time.Second

// BoundedLog writes log lines in the background. It never blocks the caller and drops lines beyond its
// bounds.
type BoundedLog struct {
	out           io.Writer
	bounds        Bounds
	queue         chan []byte
	normalBucket  *tokenBucket
	sampledBucket *tokenBucket
	droppedLines  atomic.Int64
	writtenBytes  atomic.Int64
	stop          chan struct{}
	done          chan struct{}
}

// NewBounded returns a logger that writes one JSON object per line to out, and the bounded log behind it,
// which the caller must close. The level is info or debug.
func NewBounded(out io.Writer, level string, bounds Bounds) (logr.Logger, *BoundedLog) {
	b := &BoundedLog{
		out:           out,
		bounds:        bounds,
		queue:         make(chan []byte, bounds.QueueCapacity),
		normalBucket:  newTokenBucket(bounds.NormalBytesPerSecond, bounds.BurstSeconds),
		sampledBucket: newTokenBucket(bounds.SampledBytesPerSecond, bounds.BurstSeconds),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	go b.run()
	minLevel := slog.LevelInfo
	if level == "debug" {
		minLevel = slog.LevelDebug
	}
	// Sampled lines of decisions are logged at every configured level.
	options := &slog.HandlerOptions{
		Level: min(minLevel, sampledLevel),
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level == sampledLevel {
				return slog.String(slog.LevelKey, "SAMPLE")
			}
			return a
		},
	}
	h := &classHandler{
		normal: slog.NewJSONHandler(&lineWriter{
			log:    b,
			bucket: b.normalBucket,
		}, options),
		sampled: slog.NewJSONHandler(&lineWriter{
			log:    b,
			bucket: b.sampledBucket,
		}, options),
	}
	return logr.FromSlogHandler(h), b
}

// sampledLevel is the level of logr's V(1).
const sampledLevel = slog.LevelInfo - 1

// DroppedLines returns the number of lines dropped because they exceeded the bounds.
func (b *BoundedLog) DroppedLines() int64 { return b.droppedLines.Load() }

// WrittenBytes returns the number of bytes written, without the lines that report dropped lines.
func (b *BoundedLog) WrittenBytes() int64 { return b.writtenBytes.Load() }

// Close writes the queued lines and stops the log. It waits for closeTimeout at most.
func (b *BoundedLog) Close() {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
		// The output is blocked, so the queued lines are lost.
	}
}

// closeTimeout limits how long Close waits for a blocked output.
const closeTimeout = 500 * time.Millisecond

func (b *BoundedLog) run() {
	defer close(b.done)
	ticker := time.NewTicker(dropReportPeriod)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-b.queue:
			b.write(line)
		case <-ticker.C:
			reported = b.reportDropped(reported)
		case <-b.stop:
			b.drain()
			b.reportDropped(reported)
			return
		}
	}
}

// drain writes the lines in the queue and returns when it is empty.
func (b *BoundedLog) drain() {
	for {
		select {
		case line := <-b.queue:
			b.write(line)
		default:
			return
		}
	}
}

func (b *BoundedLog) write(line []byte) {
	// A write error of the log cannot be logged.
	n, _ := b.out.Write(line)
	b.writtenBytes.Add(int64(n))
}

// reportDropped logs how many lines were dropped beyond those already reported, and returns the new total.
func (b *BoundedLog) reportDropped(reported int64) int64 {
	dropped := b.droppedLines.Load()
	if dropped > reported {
		slog.New(slog.NewJSONHandler(b.out, nil)).Warn("log lines dropped", "lines", dropped-reported, "in-all", dropped)
	}
	return dropped
}

// lineWriter queues the complete lines of one class within its byte rate.
type lineWriter struct {
	log    *BoundedLog
	bucket *tokenBucket
}

// Write queues one line or drops it. It never blocks and never returns an error.
func (w *lineWriter) Write(line []byte) (int, error) {
	if !w.bucket.tryTake(time.Now(), len(line)) {
		w.log.droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case w.log.queue <- append([]byte(nil), line...):
	default:
		w.log.droppedLines.Add(1)
	}
	return len(line), nil
}

// tokenBucket limits a byte rate. One token is one byte.
type tokenBucket struct {
	mutex      sync.Mutex
	rate       float64
	capacity   float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(bytesPerSecond, burstSeconds int) *tokenBucket {
	capacity := float64(bytesPerSecond * burstSeconds)
	return &tokenBucket{
		rate:       float64(bytesPerSecond),
		capacity:   capacity,
		tokens:     capacity,
		refilledAt: time.Now(),
	}
}

// tryTake takes size tokens if that many are left, and reports whether it did.
func (b *tokenBucket) tryTake(now time.Time, size int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < float64(size) {
		return false
	}
	b.tokens -= float64(size)
	return true
}

// classHandler passes each record to the handler of its class: sampled below slog.LevelInfo, normal
// otherwise.
type classHandler struct {
	normal  slog.Handler
	sampled slog.Handler
}

// Enabled reports whether records of the level are logged.
func (h *classHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.normal.Enabled(ctx, level)
}

// Handle passes the record to the handler of its class.
func (h *classHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelInfo {
		return h.sampled.Handle(ctx, record)
	}
	return h.normal.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes to each record.
func (h *classHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &classHandler{
		normal:  h.normal.WithAttrs(attributes),
		sampled: h.sampled.WithAttrs(attributes),
	}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h *classHandler) WithGroup(name string) slog.Handler {
	return &classHandler{
		normal:  h.normal.WithGroup(name),
		sampled: h.sampled.WithGroup(name),
	}
}
