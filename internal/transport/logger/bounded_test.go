package logger

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer may be written and read at once.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) lines() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Count(b.buffer.String(), "\n")
}

var testBounds = Bounds{
	Notable: 2000,
	Sampled: 1000,
	Burst:   1,
	Ring:    64,
}

// TestBoundsAreKept holds that lines beyond the bounds are dropped, counted and told of, and that a flood of sampled lines takes nothing from the notable ones.
func TestBoundsAreKept(t *testing.T) {
	out := &lockedBuffer{}
	log, b := NewBounded(out, "info", testBounds)
	for range 1000 {
		log.V(1).Info("sampled")
	}
	for range 5 {
		log.Info("notable")
	}
	b.Close()
	text := out.buffer.String()
	if strings.Count(text, `"notable"`) != 5 {
		t.Errorf("notable lines were lost:\n%s", text)
	}
	if got := strings.Count(text, `"sampled"`); got == 0 || got > 20 {
		t.Errorf("%d sampled lines", got)
	}
	if b.Dropped() < 900 || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d dropped:\n%s", b.Dropped(), text)
	}
}

// TestNobodyReads holds that a reader that has stopped holds up neither who writes lines nor the end.
func TestNobodyReads(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	bounds := testBounds
	bounds.Notable = 10 << 20
	log, b := NewBounded(writer, "info", bounds)
	began := time.Now()
	for range 5000 {
		log.Info("a line that nobody reads, long enough to fill the pipe after some hundreds of its kind")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("5000 lines took %s", took)
	}
	b.Close()
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the end took %s", took)
	}
	if b.Dropped() == 0 {
		t.Error("nothing was dropped though nobody read")
	}
}

func TestAllowanceRefills(t *testing.T) {
	a := newAllowance(100, 2)
	now := a.filled
	if !a.take(now, 200) || a.take(now, 1) {
		t.Error("the burst is not two seconds' worth")
	}
	if a.take(now.Add(500*time.Millisecond), 60) || !a.take(now.Add(500*time.Millisecond), 50) {
		t.Error("half a second gives half of the rate")
	}
}

func TestLinesAreWhole(t *testing.T) {
	out := &lockedBuffer{}
	log, b := NewBounded(out, "debug", DefaultBounds)
	log.WithValues("instance", "entry-1").Info("started", "address", "127.0.0.1:1")
	b.Close()
	if out.lines() != 1 || !strings.Contains(out.buffer.String(), `"instance":"entry-1"`) {
		t.Errorf("%q", out.buffer.String())
	}
}
