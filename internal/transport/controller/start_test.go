package controller

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// TestJournalMessagesPrecedeCalls guards against elections that time out because votes wait behind calls of entry instances.
func TestJournalMessagesPrecedeCalls(t *testing.T) {
	const calls, term = 500, 99
	c := newControls(t, 1)[0]
	defer c.Close()
	release := make(chan struct{})
	check(t, c.enqueue(t.Context(), event{
		call: func(time.Time) { <-release },
	}))
	terms := make(chan uint64, calls)
	for range calls {
		check(t, c.enqueue(t.Context(), event{
			call: func(time.Time) { terms <- c.machine.Term() },
		}))
	}
	check(t, c.enqueueMessage(t.Context(), &wire.JournalMessage{
		From: "control-1",
		To:   "control-0",
		Term: term,
		Body: &wire.JournalMessage_AppendAsk{
			AppendAsk: &wire.AppendAsk{},
		},
	}))
	close(release)
	if got := <-terms; got < term {
		t.Errorf("the first queued call ran in term %d, before the message of term %d was handled", got, term)
	}
}

// TestStaleMessagesAreDropped guards against votes and heartbeats that reach a peer after their election is over, and against the loss of entries.
func TestStaleMessagesAreDropped(t *testing.T) {
	const election = 350 * time.Millisecond
	cases := []struct {
		name string
		age  time.Duration
		body *wire.JournalMessage
		want bool
	}{
		{"new vote request", election, &wire.JournalMessage{Body: &wire.JournalMessage_VoteAsk{}}, false},
		{"old vote request", 2 * election, &wire.JournalMessage{Body: &wire.JournalMessage_VoteAsk{}}, true},
		{"old vote", 2 * election, &wire.JournalMessage{Body: &wire.JournalMessage_VoteReply{}}, true},
		{"old heartbeat", 2 * election, &wire.JournalMessage{Body: &wire.JournalMessage_AppendAsk{}}, true},
		{"old entries", 2 * election, &wire.JournalMessage{Body: &wire.JournalMessage_AppendAsk{
			AppendAsk: &wire.AppendAsk{
				Entries: []*wire.JournalEntry{{}},
			},
		}}, false},
		{"old snapshot", 2 * election, &wire.JournalMessage{Body: &wire.JournalMessage_SnapshotAsk{}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &outbox{
				queue:           make(chan queuedMessage),
				electionTimeout: election,
				staleMessages:   tally.NoopScope.Counter(""),
			}
			batch := o.collectBatch(queuedMessage{
				message:  c.body,
				queuedAt: time.Now().Add(-c.age + 10*time.Millisecond),
			})
			if dropped := len(batch) == 0; dropped != c.want {
				t.Errorf("dropped: %v, want %v", dropped, c.want)
			}
		})
	}
}

// putReplicas adds replicas with IDs that hardly compress, as of the applied index.
func putReplicas(t testing.TB, c *Controller, count int) {
	t.Helper()
	check(t, c.runInLoop(t.Context(), func(time.Time) {
		for i := range count {
			c.state.Enroller.Enroll(&wire.Replica{
				Id:      "r-" + uuid.NewString(),
				Service: fmt.Sprintf("service-%d", i%135),
				Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			}, c.appliedIndex)
		}
	}))
}

// encodingRecorder records the Content-Encoding of the last response.
type encodingRecorder struct {
	http.RoundTripper

	last string
}

func (r *encodingRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.RoundTripper.RoundTrip(request)
	if err == nil {
		r.last = response.Header.Get("Content-Encoding")
	}
	return response, err
}

// TestWholeState checks that instances that read tables and those of the previous release receive the same state, also with changes made after the table was built, and guards against a table that is compressed again on each call.
func TestWholeState(t *testing.T) {
	const replicas = 2500
	c := newControls(t, 1)[0]
	defer c.Close()
	confirmAny(t, []*Controller{c}, "first", 0)
	putReplicas(t, c, replicas)
	client := listener.NewClient()
	recorder := &encodingRecorder{
		RoundTripper: client.Transport,
	}
	client.Transport = recorder
	defer client.CloseIdleConnections()
	follow := func(accepts bool, options ...connect.ClientOption) *wire.FollowResponse {
		t.Helper()
		response, err := wireconnect.NewFleetServiceClient(client, "http://"+c.Address(), options...).Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
			Instance:     "entry-1",
			AcceptsTable: accepts,
		}))
		check(t, err)
		return response.Msg
	}
	follow(true, connect.WithAcceptCompression("gzip", nil, nil))
	check(t, c.Announce(t.Context(), &wire.Replica{
		Id:      "late",
		Address: "10.9.9.9:8000",
	}))
	table := follow(true, connect.WithAcceptCompression("gzip", nil, nil))
	if len(table.GetTable()) < 64<<10 || len(table.GetReplicas()) != 1 || recorder.last != "" {
		t.Errorf("table of %d bytes with %d changes, encoded as %q; want more than 64 KB, 1 change, no encoding", len(table.GetTable()), len(table.GetReplicas()), recorder.last)
	}
	_, err := packer.Expand(table)
	check(t, err)
	plain := follow(false)
	if recorder.last != "gzip" {
		t.Errorf("the old form is encoded as %q, want gzip", recorder.last)
	}
	for name, response := range map[string]*wire.FollowResponse{
		"table": table,
		"plain": plain,
	} {
		if !response.GetWhole() || len(response.GetReplicas()) != replicas+1 {
			t.Errorf("%s: whole %v, %d replicas, want all %d", name, response.GetWhole(), len(response.GetReplicas()), replicas+1)
		}
	}
}

// TestWholeStateRefusal checks that calls beyond the admitted ones are refused at once with a retry time and the instances that hold the state, and that calls for changes are not.
func TestWholeStateRefusal(t *testing.T) {
	c := newControls(t, 1)[0]
	defer c.Close()
	confirmAny(t, []*Controller{c}, "first", 0)
	service := &fleetService{
		controller: c,
	}
	holder := &wire.FollowRequest{
		Instance: "entry-0",
		Zone:     "zone-a",
		Address:  "127.0.0.1:1",
		Heard:    true,
	}
	_, err := service.Follow(t.Context(), connect.NewRequest(holder))
	check(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var refusal *wire.FollowRefusal
	for i := 0; i < 100 && refusal == nil; i++ {
		_, err = service.Follow(ctx, connect.NewRequest(&wire.FollowRequest{
			Instance:     "entry-1",
			AcceptsTable: true,
		}))
		refusal = listener.ErrorDetail[*wire.FollowRefusal](err)
	}
	if connect.CodeOf(err) != connect.CodeResourceExhausted || refusal.GetRetryAfterMs() == 0 || len(refusal.GetPeers()) != 1 {
		t.Errorf("got %v with detail %v, want a refusal with a retry time and one peer", err, refusal)
	}
	_, err = service.Follow(t.Context(), connect.NewRequest(holder))
	check(t, err)
}

// BenchmarkWholeState measures the processor time of a response with the whole state of 1,028 replicas, collected, encoded and, in the old form, compressed as the RPC library does.
func BenchmarkWholeState(b *testing.B) {
	c := newControls(b, 1)[0]
	defer c.Close()
	confirmAny(b, []*Controller{c}, "first", 0)
	putReplicas(b, c, 1028)
	for _, accepts := range []bool{true, false} {
		b.Run(fmt.Sprintf("table=%v", accepts), func(b *testing.B) {
			for b.Loop() {
				response, err := c.respond(b.Context(), &wire.FollowRequest{
					AcceptsTable: accepts,
				})
				check(b, err)
				encoded, err := proto.Marshal(response)
				check(b, err)
				if !accepts {
					w := gzip.NewWriter(io.Discard)
					_, err = w.Write(encoded)
					check(b, errors.Join(err, w.Close()))
				}
			}
		})
	}
}

// TestDocument guards against a configuration that is compressed anew for each entry instance, and checks that each kind of client receives the current one.
func TestDocument(t *testing.T) {
	c := newControls(t, 1)[0]
	defer c.Close()
	client := listener.NewClient()
	recorder := &encodingRecorder{
		RoundTripper: client.Transport,
	}
	client.Transport = recorder
	defer client.CloseIdleConnections()
	cases := []struct {
		name     string
		options  []connect.ClientOption
		encoding string
	}{
		{"compressed", nil, "gzip"},
		{"plain", []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}, ""},
		{"JSON", []connect.ClientOption{connect.WithProtoJSON()}, ""},
	}
	for version := range uint64(3) {
		for _, k := range cases {
			service := wireconnect.NewFleetServiceClient(client, "http://"+c.Address(), k.options...)
			response, err := service.Document(t.Context(), connect.NewRequest(&wire.DocumentRequest{}))
			check(t, err)
			if got := response.Msg.GetPublication().GetVersion(); got != version || recorder.last != k.encoding {
				t.Errorf("%s: version %d encoded as %q, want version %d encoded as %q", k.name, got, recorder.last, version, k.encoding)
			}
		}
		_, err := c.PublishDocument(t.Context(), &wire.Publication{
			Version: version + 1,
		})
		check(t, err)
	}
}

// TestBatchDelay guards against control instances that answer every follower after each of a thousand changes, and against changes that are held back in a quiet or a small fleet.
func TestBatchDelay(t *testing.T) {
	cases := []struct {
		followers, changes int
		age                time.Duration
		want               time.Duration
	}{
		{300, 1, 0, minBatchDelay},
		{300, 50, 0, maxBatchDelay},
		{100, 50, 0, 100 * time.Millisecond},
		{4, 50, 0, minBatchDelay},
		{300, 50, 3 * time.Second, minBatchDelay},
	}
	for _, c := range cases {
		f := newFollowers()
		for i := range c.followers {
			f.record(time.Now(), &wire.EntryInstance{
				Instance: fmt.Sprintf("entry-%d", i),
			})
		}
		for range c.changes {
			f.countChange(time.Now().Add(-c.age))
		}
		f.countChange(time.Now())
		if got := f.batchDelay(); got != c.want {
			t.Errorf("%d followers, %d changes %s ago: held back for %s, want %s", c.followers, c.changes, c.age, got, c.want)
		}
	}
}
