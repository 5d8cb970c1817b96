package integration

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

const (
	connectionLimit = 25
	runsAtOnce      = 6
)

// TestReplicaLimit sends far more runs at once than the replicas have connections for, while entry instances are lost, frozen, cut off, restarted and added, and reads the replicas' own count.
func TestReplicaLimit(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  8,
		zones:    4,
		shards:   1,
		replicas: 2,
		workMs:   20,
		links:    true,
	})
	pressure := startPressure(f.entries)
	f.disturbEntries()
	pressure.close()
	for _, s := range f.standins {
		record := s.started()
		t.Logf("%s: %d connections at most, %d opened, %d runs started", s.name, record.PeakConnections, record.ConnectionsOpened, len(record.Runs))
		if record.PeakConnections > connectionLimit {
			t.Errorf("%s had %d connections, its limit is %d", s.name, record.PeakConnections, connectionLimit)
		}
		if record.PeakConnections < connectionLimit/2 {
			t.Errorf("%s had %d connections at most: the load did not reach the limit", s.name, record.PeakConnections)
		}
	}
}

func (f *fleet) disturbEntries() {
	time.Sleep(time.Second)
	f.entries[3].kill()
	time.Sleep(500 * time.Millisecond)
	f.entries[3].start()
	f.entries[4].freeze()
	time.Sleep(2 * time.Second)
	f.entries[4].thaw()
	cutOff := f.entries[5]
	for _, e := range f.entries {
		if e != cutOff {
			f.cut(e.name, cutOff.name)
			f.cut(cutOff.name, e.name)
		}
	}
	time.Sleep(2 * time.Second)
	for _, e := range f.entries[:2] {
		e.terminate()
		e.start()
	}
	for _, e := range f.entries {
		if e != cutOff {
			f.heal(e.name, cutOff.name)
			f.heal(cutOff.name, e.name)
		}
	}
	time.Sleep(2 * time.Second)
}

// pressure is runs and queries at once through every entry instance.
type pressure struct {
	stop chan struct{}
	done sync.WaitGroup
}

func startPressure(entries []*process) *pressure {
	p := &pressure{
		stop: make(chan struct{}),
	}
	for _, e := range entries {
		for i := range runsAtOnce {
			p.done.Go(func() { p.run(e, i) })
		}
	}
	return p
}

func (p *pressure) run(e *process, number int) {
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return
		default:
		}
		if _, status := e.run(fmt.Sprintf("%s-%d-%d", e.name, number, i), time.Now()); status != http.StatusOK {
			time.Sleep(10 * time.Millisecond)
		}
		e.query("pressure", 500)
	}
}

func (p *pressure) close() {
	close(p.stop)
	p.done.Wait()
}

// TestJoinersStayWithinLimit adds entry instances while the others use their whole share of a replica's connections.
func TestJoinersStayWithinLimit(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  3,
		zones:    1,
		shards:   1,
		replicas: 1,
		workMs:   20,
	})
	pressure := startPressure(f.entries)
	time.Sleep(time.Second)
	joiners := []*process{f.join(f.entries[0]), f.join(f.entries[1])}
	for _, j := range joiners {
		waitFor(t, 5*time.Second, j.name+" is ready", j.isReady)
	}
	second := startPressure(joiners)
	time.Sleep(2 * time.Second)
	second.close()
	pressure.close()
	record := f.standins[0].started()
	t.Logf("%d connections at most, %d runs started", record.PeakConnections, len(record.Runs))
	if record.PeakConnections > connectionLimit || record.PeakConnections < connectionLimit/2 {
		t.Errorf("%d connections at most, the limit is %d", record.PeakConnections, connectionLimit)
	}
	through := 0
	for _, run := range record.Runs {
		for _, j := range joiners {
			if strings.HasPrefix(run.Key, j.name+"-") {
				through++
			}
		}
	}
	if through == 0 {
		t.Error("no run came through the joiners")
	}
}

// TestLateJoiner adds an entry instance that knows one peer and that no other process lists, and then loses that peer.
func TestLateJoiner(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  3,
		zones:    1,
		shards:   2,
		replicas: 2,
	})
	joiner := f.join(f.entries[0])
	waitFor(t, 5*time.Second, "the joiner answers whole", func() bool {
		answer, status := joiner.query("joined", 500)
		return status == http.StatusOK && answer.Coverage == 1
	})
	f.entries[0].kill()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, status := joiner.query("stays", 500); status != http.StatusOK || answer.Coverage != 1 {
			t.Fatalf("the joiner lost what it knew: status %d, %+v", status, answer)
		}
	}
	if answer, _ := joiner.run("after the join", time.Now()); answer.Outcome != "answered" {
		t.Errorf("a run through the joiner: %+v", answer)
	}
}

// join starts one more entry instance, which is told of one peer.
func (f *fleet) join(seed *process) *process {
	e := f.place("entry", len(f.entries)+f.joined, "pimentogate")
	f.joined++
	e.callers = freeAddress(f.t)
	f.settleEntry(e)
	settings, ok := e.settings.(*checker.EntrySettings)
	if !ok {
		f.t.Fatal("no settings of an entry instance")
	}
	settings.Peers = []string{f.via(e, seed)}
	f.write(e, settings)
	f.t.Logf("joins with the settings of %s", filepath.Base(e.log))
	e.start()
	return e
}
