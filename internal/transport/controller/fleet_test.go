package controller

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr/testr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// fleet is control instances that find each other by seeds, each on a loopback address of its own at one port.
type fleet struct {
	t        *testing.T
	settings []*checker.Control
	controls []*Controller
}

// newFleet starts control instances, of which the first three are the seeds.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	_, port, err := net.SplitHostPort(freeAddress(t))
	check(t, err)
	f := &fleet{
		t:        t,
		controls: make([]*Controller, count),
	}
	folder := t.TempDir()
	var seeds []string
	for i := range count {
		host := fmt.Sprintf("127.0.7.%d", i+1)
		if i < 3 {
			seeds = append(seeds, host+":1")
		}
		f.settings = append(f.settings, &checker.Control{
			Instance:          fmt.Sprintf("control-%d", i),
			Zone:              fmt.Sprintf("zone-%d", i),
			Listen:            net.JoinHostPort(host, port),
			DataFolder:        filepath.Join(folder, host),
			ElectionTimeoutMs: testElection,
			Formation: &checker.Formation{
				FirstStart: true,
			},
		})
	}
	for i := range count {
		f.settings[i].Formation.Seeds = seeds
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.controls {
			f.stop(i)
		}
	})
	return f
}

func (f *fleet) start(i int) {
	f.t.Helper()
	c, err := New(f.settings[i], testr.New(f.t), tally.NoopScope)
	check(f.t, err)
	f.controls[i] = c
	f.settings[i] = restarted(f.settings[i])
}

func restarted(settings *checker.Control) *checker.Control {
	again := *settings
	again.Formation = &checker.Formation{
		Seeds: settings.Formation.Seeds,
	}
	return &again
}

func (f *fleet) stop(i int) {
	if f.controls[i] != nil {
		_ = f.controls[i].Close()
		f.controls[i] = nil
	}
}

// wipe stops an instance and loses its disk.
func (f *fleet) wipe(i int) {
	f.t.Helper()
	f.stop(i)
	check(f.t, os.RemoveAll(f.settings[i].DataFolder))
}

// await waits until the instance sees a vote of every instance.
func (f *fleet) await(i int) {
	f.t.Helper()
	limit := time.Now().Add(testLimit)
	for {
		got := 0
		check(f.t, f.controls[i].ask(context.Background(), func(time.Time) {
			if f.controls[i].machine.HasJoined() {
				got = f.controls[i].machine.Members().VoterCount()
			}
		}))
		if got == len(f.controls) {
			return
		}
		if time.Now().After(limit) {
			f.t.Fatalf("instance %d sees %d votes, want %d\n%s", i, got, len(f.controls), f.describe())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// describe says where each instance stands, for a test that fails.
func (f *fleet) describe() string {
	var b strings.Builder
	for i, c := range f.controls {
		if c == nil {
			continue
		}
		_ = c.ask(context.Background(), func(time.Time) {
			m := c.machine
			fmt.Fprintf(&b, "%d: %s, role %d, term %d, leader %q, last %d, commit %d, saving %v, members %v\n",
				i, c.id, m.Role(), m.Term(), m.Leader(), m.LastIndex(), m.CommitIndex(), c.saving, m.Members())
		})
	}
	return b.String()
}

func (f *fleet) leader() int {
	f.t.Helper()
	limit := time.Now().Add(testLimit)
	for time.Now().Before(limit) {
		for i, c := range f.controls {
			leads := false
			if c != nil {
				check(f.t, c.ask(context.Background(), func(now time.Time) { leads = c.machine.HasLease(now) }))
			}
			if leads {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("no leader")
	return 0
}

func (f *fleet) publish(i int, version uint64, content string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err := f.controls[i].PublishDocument(ctx, &wire.Publication{
		Version:  version,
		Document: []byte(content),
	})
	check(f.t, err)
}

func (f *fleet) read(i int) *wire.Publication {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	publication, err := f.controls[i].ReadDocument(ctx)
	check(f.t, err)
	return publication
}

// TestOpenMembership plays the life of the control instances: seeds form, a fourth joins, each disk is lost in turn right after an acknowledgement, a successor comes at another address, all restart.
func TestOpenMembership(t *testing.T) {
	f := newFleet(t, 4)
	for i := range f.controls {
		f.await(i)
	}
	version := uint64(0)
	for i := range f.controls {
		version++
		f.publish(i, version, fmt.Sprint(version))
		f.wipe(i)
		f.start(i)
		f.await(i)
		if got := f.read(i).GetVersion(); got != version {
			t.Fatalf("version %d after disk %d was lost, want %d", got, i, version)
		}
	}
	for i := range f.controls {
		f.stop(i)
	}
	for i := range f.controls {
		f.start(i)
	}
	for i := range f.controls {
		if got := f.read(i); got.GetVersion() != version || string(got.GetDocument()) != fmt.Sprint(version) {
			t.Errorf("instance %d reads version %d after all restarted, want %d", i, got.GetVersion(), version)
		}
	}
}

// TestJoinsBesideLeaderThatIsNoSeed holds that an instance without a journal finds a leader that no seed names, by what the seeds answer.
func TestJoinsBesideLeaderThatIsNoSeed(t *testing.T) {
	const noSeed = 3
	f := newFleet(t, 4)
	for i := range f.controls {
		f.await(i)
	}
	for leads := f.leader(); leads != noSeed; leads = f.leader() {
		f.stop(leads)
		f.leader()
		f.start(leads)
	}
	f.wipe(0)
	f.start(0)
	f.await(0)
}

// TestBlankNeverForms holds that an instance whose disk was lost forms nothing by itself, though it is a seed.
func TestBlankNeverForms(t *testing.T) {
	f := newFleet(t, 3)
	f.publish(0, 1, "first")
	for i := range f.controls {
		f.stop(i)
	}
	check(t, os.RemoveAll(f.settings[0].DataFolder))
	f.start(0)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if publication, err := f.controls[0].ReadDocument(ctx); err == nil {
		t.Errorf("read version %d from an instance that knows nothing", publication.GetVersion())
	}
	f.start(1)
	f.start(2)
	if got := f.read(0).GetVersion(); got != 1 {
		t.Errorf("version %d, want 1", got)
	}
}

// TestReadIsNewest holds that a read at any instance, begun after an acknowledgement by any other, returns no older version, also while leaders go.
func TestReadIsNewest(t *testing.T) {
	f := newFleet(t, 4)
	f.await(0)
	for version := uint64(1); version <= 30; version++ {
		at := int(version) % len(f.controls)
		f.publish(at, version, "content")
		reader := (at + 1) % len(f.controls)
		if got := f.read(reader).GetVersion(); got != version {
			t.Fatalf("read version %d, acknowledged %d", got, version)
		}
		if version%10 == 0 {
			leads := f.leader()
			f.stop(leads)
			other := (leads + 1) % len(f.controls)
			if got := f.read(other).GetVersion(); got != version {
				t.Fatalf("read version %d after the leader was lost, acknowledged %d", got, version)
			}
			f.start(leads)
		}
	}
}

// TestLeaderAloneReadsNothing holds that a leader that has lost the others, and may not know it yet, neither reads nor publishes.
func TestLeaderAloneReadsNothing(t *testing.T) {
	f := newFleet(t, 4)
	f.await(0)
	f.publish(0, 1, "first")
	leads := f.leader()
	for i := range f.controls {
		if i != leads {
			f.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*testElection*time.Millisecond)
	defer cancel()
	if _, err := f.controls[leads].ReadDocument(ctx); err == nil {
		t.Error("a leader without a quorum answered a read")
	}
	if _, err := f.controls[leads].PublishDocument(ctx, &wire.Publication{
		Version: 2,
	}); err == nil {
		t.Error("a leader without a quorum acknowledged a publication")
	}
}

// TestPlanNeedsQuorum holds that a leader answers no plan that a quorum has not confirmed since it was asked, also within its lease.
func TestPlanNeedsQuorum(t *testing.T) {
	f := newFleet(t, 3)
	f.await(0)
	leads := f.leader()
	for i := range f.controls {
		if i != leads {
			f.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testElection/2*time.Millisecond)
	defer cancel()
	if _, _, err := f.controls[leads].leaderConfig(ctx); err == nil {
		t.Error("a plan was made without a quorum")
	}
}

func replicaOf(sequence uint64, state wire.ReplicaState) *wire.Replica {
	return &wire.Replica{
		Id:       "r1",
		Service:  "shard",
		Address:  "127.0.0.1:1",
		BornMs:   5,
		Sequence: sequence,
		State:    state,
	}
}

// TestAnnounce holds that an acknowledged drain is told by every other instance, though the one that acknowledged it is lost at once, and all others are restarted.
func TestAnnounce(t *testing.T) {
	f := newFleet(t, 4)
	f.await(3)
	check(t, f.controls[3].Announce(t.Context(), replicaOf(1, wire.ReplicaState_REPLICA_STATE_READY)))
	check(t, f.controls[3].Announce(t.Context(), replicaOf(2, wire.ReplicaState_REPLICA_STATE_READY)))
	check(t, f.controls[3].Announce(t.Context(), replicaOf(3, wire.ReplicaState_REPLICA_STATE_DRAINING)))
	f.wipe(3)
	for i := range 3 {
		f.stop(i)
		f.start(i)
	}
	for i := range 3 {
		f.read(i)
		client := wireconnect.NewFleetServiceClient(f.controls[i].client, "http://"+f.controls[i].Address())
		limit := time.Now().Add(testLimit)
		for {
			response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
				Instance: "entry-1",
			}))
			check(t, err)
			drains := slices.ContainsFunc(response.Msg.GetReplicas(), func(r *wire.Replica) bool {
				return r.GetId() == "r1" && r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
			})
			if drains && response.Msg.GetWhole() {
				break
			}
			if time.Now().After(limit) {
				t.Fatalf("instance %d tells %v", i, response.Msg.GetReplicas())
			}
		}
	}
}

// TestFollowIsHeld holds that a call with nothing new is answered at the next change, or at the end of its hold.
func TestFollowIsHeld(t *testing.T) {
	f := newFleet(t, 3)
	f.publish(0, 1, "first")
	client := wireconnect.NewFleetServiceClient(f.controls[0].client, "http://"+f.controls[0].Address())
	follow := func(since, version uint64, hold time.Duration) (*wire.FollowResponse, time.Duration) {
		began := time.Now()
		response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
			Instance: "entry-1",
			Since:    since,
			Version:  version,
			HoldMs:   uint32(hold.Milliseconds()),
			Heard:    true,
		}))
		check(t, err)
		return response.Msg, time.Since(began)
	}
	if response, took := follow(0, 0, time.Second); response.GetVersion() != 1 || took > 500*time.Millisecond {
		t.Errorf("version %d after %s", response.GetVersion(), took)
	}
	at, took := follow(1000, 1, 200*time.Millisecond)
	if took < 200*time.Millisecond {
		t.Errorf("answered after %s with nothing new", took)
	}
	time.AfterFunc(100*time.Millisecond, func() {
		_ = f.controls[1].Announce(context.Background(), replicaOf(1, wire.ReplicaState_REPLICA_STATE_READY))
	})
	response, took := follow(at.GetIndex(), 1, 5*time.Second)
	if len(response.GetReplicas()) != 1 || took > 2*time.Second {
		t.Errorf("%v after %s", response.GetReplicas(), took)
	}
}

// TestNewsIsGathered plays many replicas that start at once: an entry instance is told of them in few answers.
func TestNewsIsGathered(t *testing.T) {
	const replicas, mostAnswers = 60, 15
	f := newFleet(t, 3)
	f.publish(0, 1, "first")
	f.await(0)
	client := wireconnect.NewFleetServiceClient(f.controls[0].client, "http://"+f.controls[0].Address())
	for i := range replicas {
		time.AfterFunc(time.Duration(i)*4*time.Millisecond, func() {
			replica := replicaOf(1, wire.ReplicaState_REPLICA_STATE_READY)
			replica.Id = fmt.Sprintf("r%d", i)
			replica.Address = fmt.Sprintf("127.0.0.1:%d", i+1)
			_ = f.controls[i%3].Announce(context.Background(), replica)
		})
	}
	told, answers, since := 0, 0, uint64(0)
	for limit := time.Now().Add(testLimit); told < replicas; answers++ {
		if time.Now().After(limit) {
			t.Fatalf("told of %d replicas", told)
		}
		response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
			Instance: "entry-1",
			Since:    since,
			Version:  1,
			HoldMs:   500,
			Heard:    true,
		}))
		check(t, err)
		told += len(response.Msg.GetReplicas())
		since = response.Msg.GetIndex()
	}
	if answers > mostAnswers {
		t.Errorf("%d answers told of %d replicas", answers, replicas)
	}
}

// TestEntriesAreToldOnce holds that the entry instances are told to those that are held, once all have had the time to be heard, and again only when they change.
func TestEntriesAreToldOnce(t *testing.T) {
	f := newFleet(t, 3)
	f.await(0)
	client := wireconnect.NewFleetServiceClient(f.controls[0].client, "http://"+f.controls[0].Address())
	roster := uint64(0)
	follow := func(instance string, hold uint32) *wire.FollowResponse {
		response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
			Instance: instance,
			HoldMs:   hold,
			Roster:   roster,
		}))
		check(t, err)
		return response.Msg
	}
	first := follow("entry-1", 1)
	if len(first.GetEntries()) > 0 || len(first.GetMembers()) != 3 {
		t.Errorf("a control instance that has just started tells %v", first)
	}
	f.controls[0].followers.started = time.Now().Add(-followerLife)
	roster = first.GetRoster()
	if look := follow("entry-1", 0); len(look.GetEntries())+len(look.GetMembers()) > 0 {
		t.Errorf("a look is told %v", look)
	}
	held := follow("entry-1", 1)
	roster = held.GetRoster()
	if again := follow("entry-1", 1); len(held.GetEntries()) != 1 || len(again.GetEntries()) > 0 {
		t.Errorf("told %v, then %v", held.GetEntries(), again.GetEntries())
	}
	if changed := follow("entry-2", 1); len(changed.GetEntries()) != 2 {
		t.Errorf("after a change told %v", changed.GetEntries())
	}
}
