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

// Bounds is how much a process writes at most.
type Bounds struct {
	// Notable and Sampled are bytes a second of lines at level 0 and at higher levels.
	Notable int
	Sampled int
	// Burst is how many seconds of either may come at once.
	Burst int
	// Ring is how many lines may wait for a reader.
	Ring int
}

// DefaultBounds keep a process below a hundredth of a core and a disk's hour of logs below 200 MB.
var DefaultBounds = Bounds{
	Notable: 32 << 10,
	Sampled: 16 << 10,
	Burst:   4,
	Ring:    1024,
}

// droppedPeriod is how often dropped lines are told of.
const droppedPeriod = 5 * time.Second

// Bounded is a log that never holds up who writes to it, and drops lines beyond its bounds.
type Bounded struct {
	out     io.Writer
	bounds  Bounds
	ring    chan []byte
	notable *allowance
	sampled *allowance
	dropped atomic.Int64
	written atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewBounded returns a log that writes one JSON object a line to out, and the log's writer, to be closed at the end.
func NewBounded(out io.Writer, level string, bounds Bounds) (logr.Logger, *Bounded) {
	b := &Bounded{
		out:     out,
		bounds:  bounds,
		ring:    make(chan []byte, bounds.Ring),
		notable: newAllowance(bounds.Notable, bounds.Burst),
		sampled: newAllowance(bounds.Sampled, bounds.Burst),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go b.run()
	least := slog.LevelInfo
	if level == "debug" {
		least = slog.LevelDebug
	}
	// The sampled lines of decisions are part of the log at any level of settings.
	options := &slog.HandlerOptions{
		Level: min(least, sampledLevel),
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level == sampledLevel {
				return slog.String(slog.LevelKey, "SAMPLE")
			}
			return a
		},
	}
	h := &boundedHandler{
		notable: slog.NewJSONHandler(&lineWriter{
			log:       b,
			allowance: b.notable,
		}, options),
		sampled: slog.NewJSONHandler(&lineWriter{
			log:       b,
			allowance: b.sampled,
		}, options),
	}
	return logr.FromSlogHandler(h), b
}

// sampledLevel is the level of logr's V(1).
const sampledLevel = slog.LevelInfo - 1

// Dropped returns how many lines did not fit the bounds.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Written returns how many bytes were written.
func (b *Bounded) Written() int64 { return b.written.Load() }

// Close writes what waits, for a short time at most, and ends.
func (b *Bounded) Close() {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(closeLimit):
		// Nobody reads the output, so what waits is lost.
	}
}

// closeLimit bounds the wait for a reader at the end.
const closeLimit = 500 * time.Millisecond

func (b *Bounded) run() {
	defer close(b.done)
	ticker := time.NewTicker(droppedPeriod)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case line := <-b.ring:
			b.write(line)
		case <-ticker.C:
			told = b.tell(told)
		case <-b.stop:
			b.drain()
			b.tell(told)
			return
		}
	}
}

func (b *Bounded) drain() {
	for {
		select {
		case line := <-b.ring:
			b.write(line)
		default:
			return
		}
	}
}

func (b *Bounded) write(line []byte) {
	// A log that can't be written has nowhere to say so.
	n, _ := b.out.Write(line)
	b.written.Add(int64(n))
}

// tell writes how many lines were dropped since it told last.
func (b *Bounded) tell(told int64) int64 {
	dropped := b.dropped.Load()
	if dropped > told {
		slog.New(slog.NewJSONHandler(b.out, nil)).Warn("log lines dropped", "lines", dropped-told, "in-all", dropped)
	}
	return dropped
}

// lineWriter takes whole lines of one class.
type lineWriter struct {
	log       *Bounded
	allowance *allowance
}

// Write takes one line or drops it; it never waits.
func (w *lineWriter) Write(line []byte) (int, error) {
	if !w.allowance.take(time.Now(), len(line)) {
		w.log.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.log.ring <- append([]byte(nil), line...):
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}

// allowance is a number of bytes a second.
type allowance struct {
	mutex  sync.Mutex
	rate   float64
	most   float64
	left   float64
	filled time.Time
}

func newAllowance(rate, burst int) *allowance {
	most := float64(rate * burst)
	return &allowance{
		rate:   float64(rate),
		most:   most,
		left:   most,
		filled: time.Now(),
	}
}

func (a *allowance) take(now time.Time, size int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.left = min(a.most, a.left+a.rate*now.Sub(a.filled).Seconds())
	a.filled = now
	if a.left < float64(size) {
		return false
	}
	a.left -= float64(size)
	return true
}

// boundedHandler gives each line to the class of its level.
type boundedHandler struct {
	notable slog.Handler
	sampled slog.Handler
}

// Enabled reports whether lines of the level are written at all.
func (h *boundedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.notable.Enabled(ctx, level)
}

// Handle writes one line.
func (h *boundedHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelInfo {
		return h.sampled.Handle(ctx, record)
	}
	return h.notable.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *boundedHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &boundedHandler{
		notable: h.notable.WithAttrs(attributes),
		sampled: h.sampled.WithAttrs(attributes),
	}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{
		notable: h.notable.WithGroup(name),
		sampled: h.sampled.WithGroup(name),
	}
}
