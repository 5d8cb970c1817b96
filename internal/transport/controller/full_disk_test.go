package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// largeDocument is the size of a publication's document, of which a few make the journal long enough for a snapshot.
	largeDocument = 300 << 10
	// publicationPause is the time between publications.
	publicationPause = 20 * time.Millisecond
)

// publisher publishes one version after the other, at any instance.
type publisher struct {
	cluster *cluster
	random  *rand.Rand
	// acked is the highest version that was acknowledged.
	acked uint64
	sent  uint64
	stop  chan struct{}
	done  sync.WaitGroup
}

func startPublisher(cl *cluster, random *rand.Rand) *publisher {
	p := &publisher{
		cluster: cl,
		random:  random,
		stop:    make(chan struct{}),
	}
	p.done.Go(p.run)
	return p
}

func (p *publisher) run() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(publicationPause):
			p.sent++
			if p.publish(p.random.IntN(len(p.cluster.controls)), time.Second) == nil {
				p.acked = p.sent
			}
		}
	}
}

func (p *publisher) publish(i int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := p.cluster.controls[i].PublishDocument(ctx, &wire.Publication{
		Version:  p.sent,
		Document: []byte(strings.Repeat("x", p.random.IntN(largeDocument))),
	})
	return err
}

func (p *publisher) close() {
	close(p.stop)
	p.done.Wait()
}

// TestDisksFullInTurn guards against control instances that take no changes any more after the disks of all of them were full, one after the other, while changes went on and the journal was compacted.
func TestDisksFullInTurn(t *testing.T) {
	const (
		rounds       = 8
		maxFull      = 1200 * time.Millisecond
		maxRoom      = 600 * time.Millisecond
		recoveryTime = 5 * time.Second
	)
	for _, seed := range diskSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			count := 3 + int(seed%4)
			zones := count
			if count%2 == 0 {
				// An instance is removed sooner if another of its availability zone is heard.
				zones = count / 2
			}
			cl := newZonedCluster(t, count, zones)
			cl.awaitVoters(0)
			p := startPublisher(cl, rand.New(rand.NewPCG(seed, 1)))
			for round := range rounds {
				i := round % len(cl.controls)
				if random.IntN(3) == 0 {
					i = cl.awaitLeader()
				}
				unblock := cl.fillDisk(i)
				time.Sleep(time.Duration(random.Int64N(int64(maxFull))))
				unblock()
				time.Sleep(time.Duration(random.Int64N(int64(maxRoom))))
			}
			time.Sleep(recoveryTime)
			p.close()
			for i := range cl.controls {
				p.sent++
				if err := p.publish(i, time.Second); err != nil {
					t.Errorf("instance %d refuses a change: %v\n%s", i, err, cl.describe())
				} else if got := cl.read(i); got.GetVersion() != p.sent {
					t.Errorf("instance %d reads version %d, want %d", i, got.GetVersion(), p.sent)
				}
				cl.checkLogSize(i)
				cl.awaitVoters(i)
			}
		})
	}
}

// fillDisk lets the instance's writes fail until the returned function is called. The journal's file may be closed from the last time.
func (cl *cluster) fillDisk(i int) func() {
	cl.t.Helper()
	folder := cl.settings[i].DataFolder
	check(cl.t, os.Rename(folder, folder+".away"))
	_ = cl.controls[i].store.Close()
	return func() { check(cl.t, os.Rename(folder+".away", folder)) }
}

// diskSeeds returns the seeds of the short run, or those of a long run from the variable DISK_SEEDS, such as "20-40".
func diskSeeds(t *testing.T) []uint64 {
	t.Helper()
	first, last := uint64(0), uint64(1)
	if text := os.Getenv("DISK_SEEDS"); text != "" {
		if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
			t.Fatal(err)
		}
	}
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// checkLogSize checks that the log of the instance is compacted.
func (cl *cluster) checkLogSize(i int) {
	cl.t.Helper()
	size := 0
	check(cl.t, cl.controls[i].runInLoop(context.Background(), func(time.Time) { size = cl.controls[i].machine.LogBytes() }))
	if size > 3*snapshotBytes {
		cl.t.Errorf("instance %d holds a log of %d bytes\n%s", i, size, cl.describe())
	}
}

// TestSnapshotAfterFullDisk guards against a journal that grows until the disk is full for good, because a snapshot that met a full disk is not tried again for thousands of entries.
func TestSnapshotAfterFullDisk(t *testing.T) {
	cl := newCluster(t, 1)
	cl.awaitVoters(0)
	prepared := cl.settings[0].DataFolder + "/snapshot.prepared"
	check(t, os.RemoveAll(prepared))
	// Writing the snapshot fails while a folder has its name. One that is not empty stays when the failed file is removed.
	check(t, os.MkdirAll(filepath.Join(prepared, "inner"), 0o700))
	version := uint64(0)
	publishUntil := func(bytes int) {
		for published := 0; published < bytes; published += largeDocument {
			version++
			cl.publish(0, version, strings.Repeat("x", largeDocument))
		}
	}
	publishUntil(2 * snapshotBytes)
	check(t, os.RemoveAll(prepared))
	time.Sleep(2 * time.Second)
	publishUntil(4 * snapshotBytes)
	time.Sleep(time.Second)
	cl.checkLogSize(0)
}

// TestSnapshotWaitsForTheOneBefore guards against a snapshot that is written over the prepared file of the one before while that waits for the disk, so that a crash leaves a torn file, with which the instance does not start again.
func TestSnapshotWaitsForTheOneBefore(t *testing.T) {
	cl := newCluster(t, 1)
	cl.awaitVoters(0)
	cl.publish(0, 1, "first")
	c := cl.controls[0]
	var first *wire.JournalSnapshot
	check(t, c.runInLoop(t.Context(), func(time.Time) {
		first = c.machine.SnapshotHeader(c.appliedIndex)
		// The log grows in the meantime.
		c.nextSnapshotAt = time.Now().Add(time.Hour)
	}))
	for version := uint64(2); version <= 2*snapshotBytes/largeDocument; version++ {
		cl.publish(0, version, strings.Repeat("x", largeDocument))
	}
	check(t, storer.PrepareSnapshot(cl.settings[0].DataFolder, first))
	isSnapshotting := false
	check(t, c.runInLoop(t.Context(), func(time.Time) {
		c.completeSnapshot(preparedSnapshot{
			snapshot: first,
		})
		c.nextSnapshotAt = time.Time{}
		c.startSnapshot()
		isSnapshotting = c.isSnapshotting
	}))
	if isSnapshotting {
		t.Error("a second snapshot was started before the first one was installed")
	}
	deadline := time.Now().Add(testTimeout)
	for size := 2 * snapshotBytes; size >= snapshotBytes; time.Sleep(10 * time.Millisecond) {
		check(t, c.runInLoop(t.Context(), func(time.Time) { size = c.machine.LogBytes() }))
		if time.Now().After(deadline) {
			t.Fatalf("the log of %d bytes is not compacted", size)
		}
	}
}
