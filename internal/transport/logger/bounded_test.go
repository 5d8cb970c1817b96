package logger

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) lineCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Count(b.buffer.String(), "\n")
}

var testBounds = Bounds{
	NormalBytesPerSecond:  2000,
	SampledBytesPerSecond: 1000,
	BurstSeconds:          1,
	QueueCapacity:         64,
}

// TestDropsLinesBeyondBounds checks that lines beyond the bounds are dropped, counted and reported, and that
// a flood of sampled lines does not displace normal lines.
func TestDropsLinesBeyondBounds(t *testing.T) {
	out := &lockedBuffer{}
	log, b := NewBounded(out, "info", testBounds)
	for range 1000 {
		log.V(1).Info("sampled")
	}
	for range 5 {
		log.Info("normal")
	}
	b.Close()
	text := out.buffer.String()
	if strings.Count(text, `"normal"`) != 5 {
		t.Errorf("normal lines were lost:\n%s", text)
	}
	if got := strings.Count(text, `"sampled"`); got == 0 || got > 20 {
		t.Errorf("%d sampled lines, want 1 to 20", got)
	}
	if b.DroppedLines() < 900 || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d lines dropped, want at least 900 and a line that reports them:\n%s", b.DroppedLines(), text)
	}
}

// TestStalledReaderBlocksNothing checks that a reader that stops reading blocks neither the callers nor
// Close.
func TestStalledReaderBlocksNothing(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	bounds := testBounds
	bounds.NormalBytesPerSecond = 10 << 20
	log, b := NewBounded(writer, "info", bounds)
	start := time.Now()
	for range 5000 {
		log.Info("a line that is never read, long enough that some hundreds of such lines fill up the pipe")
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("5000 lines took %s", elapsed)
	}
	b.Close()
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("Close returned after %s", elapsed)
	}
	if b.DroppedLines() == 0 {
		t.Error("no lines were dropped though the reader was stalled")
	}
}

func TestTokenBucketRefills(t *testing.T) {
	b := newTokenBucket(100, 2)
	now := b.refilledAt
	if !b.tryTake(now, 200) || b.tryTake(now, 1) {
		t.Error("the burst is not two seconds at the full rate")
	}
	if b.tryTake(now.Add(500*time.Millisecond), 60) || !b.tryTake(now.Add(500*time.Millisecond), 50) {
		t.Error("half a second does not refill half a second's tokens")
	}
}

func TestLinesAreComplete(t *testing.T) {
	out := &lockedBuffer{}
	log, b := NewBounded(out, "debug", DefaultBounds)
	log.WithValues("instance", "entry-1").Info("started", "address", "127.0.0.1:1")
	b.Close()
	if out.lineCount() != 1 || !strings.Contains(out.buffer.String(), `"instance":"entry-1"`) {
		t.Errorf("got %q, want one line with the instance", out.buffer.String())
	}
}
