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

const testLimit = 5 * time.Second

// control takes records, unless it is told to refuse them.
type control struct {
	wireconnect.UnimplementedControlServiceHandler

	mutex   sync.Mutex
	refuses bool
	batches []int
	held    map[uint64]bool
}

// HandOver keeps the records.
func (c *control) HandOver(_ context.Context, request *connect.Request[wire.HandOverRequest]) (*connect.Response[wire.HandOverResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refuses {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("disk is full"))
	}
	records := request.Msg.GetRecords()
	c.batches = append(c.batches, len(records))
	for _, record := range records {
		c.held[record.GetSequence()] = true
	}
	return connect.NewResponse(&wire.HandOverResponse{
		StoredSequence: records[len(records)-1].GetSequence(),
	}), nil
}

func (c *control) refuse(refuses bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refuses = refuses
}

func newControl(t *testing.T) (*control, func() []string) {
	t.Helper()
	c := &control{
		held: map[uint64]bool{},
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

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(testLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal(what)
		}
	}
}

// TestBounds plays a control instance that refuses for a while: what waits is bounded, what is beyond it is counted, the rest arrives once, in batches of the size allowed.
func TestBounds(t *testing.T) {
	c, addresses := newControl(t)
	c.refuse(true)
	scope := tally.NewTestScope("", nil)
	d := New("entry-1", Bounds{
		Ring:    50,
		Batch:   20,
		Batches: 1,
		Period:  10 * time.Millisecond,
	}, listener.NewClient(), addresses, scope.Counter("lost"), logr.Discard())
	for range 80 {
		d.Note(&wire.OutcomeRecord{})
	}
	if lost := scope.Snapshot().Counters()["lost+"].Value(); d.Waiting() != 50 || lost != 30 {
		t.Errorf("%d wait, %d are lost; want 50 and 30", d.Waiting(), lost)
	}
	c.refuse(false)
	await(t, "records wait though control takes them", func() bool { return d.Waiting() == 0 })
	d.Close()
	if len(c.held) != 50 || len(c.batches) != 3 {
		t.Errorf("%d records in batches of %v", len(c.held), c.batches)
	}
}

// TestCloseHandsOver holds that an instance that ends hands over what waits, and does not wait where no control instance is known.
func TestCloseHandsOver(t *testing.T) {
	c, addresses := newControl(t)
	bounds := Bounds{
		Ring:   100,
		Batch:  10,
		Period: time.Hour,
	}
	d := New("entry-1", bounds, listener.NewClient(), addresses, tally.NoopScope.Counter(""), logr.Discard())
	for range 25 {
		d.Note(&wire.OutcomeRecord{})
	}
	d.Close()
	if len(c.held) != 25 {
		t.Errorf("%d records were handed over", len(c.held))
	}
	alone := New("entry-1", bounds, listener.NewClient(), func() []string { return nil }, tally.NoopScope.Counter(""), logr.Discard())
	alone.Note(&wire.OutcomeRecord{})
	began := time.Now()
	alone.Close()
	if took := time.Since(began); took > flushLimit/2 {
		t.Errorf("waited %s for nobody", took)
	}
}
