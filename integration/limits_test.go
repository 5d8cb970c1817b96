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
	connectionLimit      = 25
	mixedClientsPerEntry = 6
)

// TestReplicaLimit sends runs and queries from 48 concurrent clients to two replicas that announce 25 connections and 2 slots each, while entry instances are killed, frozen, cut off and restarted. The replicas' own peak connection counts must stay within the limit.
func TestReplicaLimit(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  8,
		zones:    4,
		shards:   1,
		replicas: 2,
		workMs:   20,
		proxied:  true,
	})
	load := startMixedLoad(f.entries)
	f.injectEntryFaults()
	load.close()
	for _, s := range f.standins {
		record := s.standinRecord()
		t.Logf("%s: peak of %d connections, %d opened, %d runs started", s.name, record.PeakConnections, record.ConnectionsOpened, len(record.Runs))
		if record.PeakConnections > connectionLimit {
			t.Errorf("%s had a peak of %d connections, limit %d", s.name, record.PeakConnections, connectionLimit)
		}
		if record.PeakConnections < connectionLimit/2 {
			t.Errorf("%s had a peak of %d connections: the load did not reach half of the limit", s.name, record.PeakConnections)
		}
	}
}

func (f *fleet) injectEntryFaults() {
	time.Sleep(time.Second)
	f.entries[3].kill()
	time.Sleep(500 * time.Millisecond)
	f.entries[3].start()
	f.entries[4].freeze()
	time.Sleep(2 * time.Second)
	f.entries[4].thaw()
	isolated := f.entries[5]
	for _, e := range f.entries {
		if e != isolated {
			f.cutLink(e.name, isolated.name)
			f.cutLink(isolated.name, e.name)
		}
	}
	time.Sleep(2 * time.Second)
	for _, e := range f.entries[:2] {
		e.terminate()
		e.start()
	}
	for _, e := range f.entries {
		if e != isolated {
			f.healLink(e.name, isolated.name)
			f.healLink(isolated.name, e.name)
		}
	}
	time.Sleep(2 * time.Second)
}

// mixedLoad sends concurrent runs and queries through every entry instance until it is closed.
type mixedLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup
}

func startMixedLoad(entries []*process) *mixedLoad {
	l := &mixedLoad{
		stop: make(chan struct{}),
	}
	for _, e := range entries {
		for i := range mixedClientsPerEntry {
			l.clients.Go(func() { l.run(e, i) })
		}
	}
	return l
}

func (l *mixedLoad) run(e *process, client int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if _, status := e.run(fmt.Sprintf("%s-%d-%d", e.name, client, i), time.Now()); status != http.StatusOK {
			time.Sleep(10 * time.Millisecond)
		}
		e.query("pressure", 500)
	}
}

func (l *mixedLoad) close() {
	close(l.stop)
	l.clients.Wait()
}

// TestJoinersStayWithinLimit adds entry instances while the others use their full share of a replica's connections.
func TestJoinersStayWithinLimit(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  3,
		zones:    1,
		shards:   1,
		replicas: 1,
		workMs:   20,
	})
	load := startMixedLoad(f.entries)
	time.Sleep(time.Second)
	joiners := []*process{f.joinEntry(f.entries[0]), f.joinEntry(f.entries[1])}
	for _, j := range joiners {
		waitFor(t, 5*time.Second, j.name+" is ready", j.isReady)
	}
	joinerLoad := startMixedLoad(joiners)
	time.Sleep(2 * time.Second)
	joinerLoad.close()
	load.close()
	record := f.standins[0].standinRecord()
	t.Logf("peak of %d connections, %d runs started", record.PeakConnections, len(record.Runs))
	if record.PeakConnections > connectionLimit || record.PeakConnections < connectionLimit/2 {
		t.Errorf("peak of %d connections, want at least half of the limit %d and no more than it", record.PeakConnections, connectionLimit)
	}
	joinerRuns := 0
	for _, run := range record.Runs {
		for _, j := range joiners {
			if strings.HasPrefix(run.Key, j.name+"-") {
				joinerRuns++
			}
		}
	}
	if joinerRuns == 0 {
		t.Error("no run was started through the added entry instances")
	}
}

// TestLateJoiner adds an entry instance that is configured with one peer and listed by no other process, and then kills that peer. The added instance must keep what it learned from it.
func TestLateJoiner(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  3,
		zones:    1,
		shards:   2,
		replicas: 2,
	})
	joiner := f.joinEntry(f.entries[0])
	waitFor(t, 5*time.Second, "the added entry instance has full coverage", func() bool {
		answer, status := joiner.query("joined", 500)
		return status == http.StatusOK && answer.Coverage == 1
	})
	f.entries[0].kill()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, status := joiner.query("stays", 500); status != http.StatusOK || answer.Coverage != 1 {
			t.Fatalf("the added entry instance lost coverage: status %d, %+v", status, answer)
		}
	}
	if answer, _ := joiner.run("after the join", time.Now()); answer.Outcome != "answered" {
		t.Errorf("run through the added entry instance: %+v, want answered", answer)
	}
}

// joinEntry starts an additional entry instance whose only configured peer is seed.
func (f *fleet) joinEntry(seed *process) *process {
	e := f.newProcess("entry", len(f.entries)+f.joinedEntries, "pimentogate")
	f.joinedEntries++
	e.callerAddress = freeAddress(f.t)
	f.writeEntrySettings(e)
	settings, ok := e.settings.(*checker.EntrySettings)
	if !ok {
		f.t.Fatal("the settings are not those of an entry instance")
	}
	settings.Peers = []string{f.dialAddress(e, seed)}
	f.writeSettings(e, settings)
	f.t.Logf("adding an entry instance that logs to %s", filepath.Base(e.logPath))
	e.start()
	return e
}
