package depositor

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const testTimeout = 5 * time.Second

// fakeControl is a control instance that accepts records, or rejects all of them while refusing is set.
type fakeControl struct {
	wireconnect.UnimplementedControlServiceHandler

	mutex      sync.Mutex
	refusing   bool
	batchSizes []int
	received   map[uint64]bool
}

// HandOver adds the sequence numbers of the records to those received.
func (c *fakeControl) HandOver(_ context.Context, request *connect.Request[wire.HandOverRequest]) (*connect.Response[wire.HandOverResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refusing {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("disk is full"))
	}
	records := request.Msg.GetRecords()
	c.batchSizes = append(c.batchSizes, len(records))
	for _, record := range records {
		c.received[record.GetSequence()] = true
	}
	return connect.NewResponse(&wire.HandOverResponse{
		StoredSequence: records[len(records)-1].GetSequence(),
	}), nil
}

func (c *fakeControl) setRefusing(refusing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refusing = refusing
}

func startFakeControl(t *testing.T) (*fakeControl, func() []string) {
	t.Helper()
	c := &fakeControl{
		received: map[uint64]bool{},
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(c))
	server, err := listener.New("127.0.0.1:0", mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return c, func() []string { return []string{server.Address()} }
}

func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// TestQueueAndBatchesAreBounded checks that the queue stays within its capacity while a control instance
// rejects records, that dropped records are counted, and that the queued records then arrive once, in batches
// of the allowed size.
func TestQueueAndBatchesAreBounded(t *testing.T) {
	c, addresses := startFakeControl(t)
	c.setRefusing(true)
	scope := tally.NewTestScope("", nil)
	d := New("entry-1", Bounds{
		QueueCapacity: 50,
		BatchSize:     20,
		MaxBatches:    1,
		Period:        10 * time.Millisecond,
	}, listener.NewClient(), addresses, scope.Counter("lost"), logr.Discard())
	for range 80 {
		d.Add(&wire.OutcomeRecord{})
	}
	if lost := scope.Snapshot().Counters()["lost+"].Value(); d.Pending() != 50 || lost != 30 {
		t.Errorf("%d records are pending and %d are lost, want 50 and 30", d.Pending(), lost)
	}
	c.setRefusing(false)
	waitFor(t, "records are still pending though the control instance accepts them", func() bool { return d.Pending() == 0 })
	d.Close()
	if len(c.received) != 50 || len(c.batchSizes) != 3 {
		t.Errorf("received %d records in batches of %v, want 50 records in 3 batches", len(c.received), c.batchSizes)
	}
}

// TestCloseFlushes checks that Close sends the pending records, and that it returns at once if no control
// instance is known.
func TestCloseFlushes(t *testing.T) {
	c, addresses := startFakeControl(t)
	bounds := Bounds{
		QueueCapacity: 100,
		BatchSize:     10,
		Period:        time.Hour,
	}
	d := New("entry-1", bounds, listener.NewClient(), addresses, tally.NoopScope.Counter(""), logr.Discard())
	for range 25 {
		d.Add(&wire.OutcomeRecord{})
	}
	d.Close()
	if len(c.received) != 25 {
		t.Errorf("%d records were sent, want 25", len(c.received))
	}
	withoutControl := New("entry-1", bounds, listener.NewClient(), func() []string { return nil }, tally.NoopScope.Counter(""), logr.Discard())
	withoutControl.Add(&wire.OutcomeRecord{})
	start := time.Now()
	withoutControl.Close()
	if elapsed := time.Since(start); elapsed > flushTimeout/2 {
		t.Errorf("Close took %s without a known control instance", elapsed)
	}
}
