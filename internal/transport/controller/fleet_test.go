package controller

import (
	"context"
	"errors"
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
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/enroller"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// cluster is a set of control instances that discover each other by seeds. Each has its own loopback address; all use the same port.
type cluster struct {
	t        *testing.T
	settings []*checker.ControlSettings
	controls []*Controller
}

// newCluster starts count control instances; the first three are the seeds.
func newCluster(t *testing.T, count int) *cluster {
	t.Helper()
	return newZonedCluster(t, count, count)
}

// newZonedCluster starts count control instances in as many availability zones as given.
func newZonedCluster(t *testing.T, count, zones int) *cluster {
	t.Helper()
	_, port, err := net.SplitHostPort(freeAddress(t))
	check(t, err)
	cl := &cluster{
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
		cl.settings = append(cl.settings, &checker.ControlSettings{
			Instance:          fmt.Sprintf("control-%d", i),
			Zone:              fmt.Sprintf("zone-%d", i%zones),
			Listen:            net.JoinHostPort(host, port),
			DataFolder:        filepath.Join(folder, host),
			ElectionTimeoutMs: testElectionTimeoutMs,
			Formation: &checker.Formation{
				FirstStart: true,
			},
		})
	}
	for i := range count {
		cl.settings[i].Formation.Seeds = seeds
		cl.start(i)
	}
	t.Cleanup(func() {
		for i := range cl.controls {
			cl.stop(i)
		}
	})
	return cl
}

func (cl *cluster) start(i int) {
	cl.t.Helper()
	c, err := New(cl.settings[i], testr.New(cl.t), tally.NoopScope, nil)
	check(cl.t, err)
	cl.controls[i] = c
	cl.settings[i] = restartSettings(cl.settings[i])
}

// restartSettings returns the settings for a restart, without FirstStart, so that the instance never forms the membership again.
func restartSettings(settings *checker.ControlSettings) *checker.ControlSettings {
	copied := *settings
	copied.Formation = &checker.Formation{
		Seeds: settings.Formation.Seeds,
	}
	return &copied
}

func (cl *cluster) stop(i int) {
	if cl.controls[i] != nil {
		_ = cl.controls[i].Close()
		cl.controls[i] = nil
	}
}

// wipe stops an instance and deletes its data folder.
func (cl *cluster) wipe(i int) {
	cl.t.Helper()
	cl.stop(i)
	check(cl.t, os.RemoveAll(cl.settings[i].DataFolder))
}

// moveTo gives a stopped instance an empty data folder and another host.
func (cl *cluster) moveTo(i int, host string) {
	cl.t.Helper()
	_, port, err := net.SplitHostPort(cl.settings[i].Listen)
	check(cl.t, err)
	cl.settings[i].Listen = net.JoinHostPort(host, port)
	cl.settings[i].DataFolder = filepath.Join(cl.t.TempDir(), host)
}

// awaitVoters waits until the instance has joined and every instance is a voter in its membership.
func (cl *cluster) awaitVoters(i int) {
	cl.t.Helper()
	cl.awaitVoterCount(i, len(cl.controls))
}

// awaitVoterCount waits until the instance has joined and its membership has that many voters.
func (cl *cluster) awaitVoterCount(i, want int) {
	cl.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		voterCount := 0
		check(cl.t, cl.controls[i].runInLoop(context.Background(), func(time.Time) {
			if cl.controls[i].machine.HasJoined() {
				voterCount = cl.controls[i].machine.Members().VoterCount()
			}
		}))
		if voterCount == want {
			return
		}
		if time.Now().After(deadline) {
			cl.t.Fatalf("instance %d sees %d voters, want %d\n%s", i, voterCount, want, cl.describe())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// describe returns the state of each running instance for failure messages.
func (cl *cluster) describe() string {
	var b strings.Builder
	for i, c := range cl.controls {
		if c == nil {
			continue
		}
		_ = c.runInLoop(context.Background(), func(time.Time) {
			m := c.machine
			fmt.Fprintf(&b, "%d: %s, role %d, term %d, leader %q, last %d, commit %d, saving %v, members %v\n",
				i, c.id, m.Role(), m.Term(), m.Leader(), m.LastIndex(), m.CommitIndex(), c.isSaving, m.Members())
		})
	}
	return b.String()
}

// awaitLeader waits until an instance holds the leader's lease, and returns its index.
func (cl *cluster) awaitLeader() int {
	cl.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		for i, c := range cl.controls {
			isLeader := false
			if c != nil {
				check(cl.t, c.runInLoop(context.Background(), func(now time.Time) { isLeader = c.machine.HasLease(now) }))
			}
			if isLeader {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	cl.t.Fatal("no instance became leader")
	return 0
}

// term returns the term of the instance.
func (cl *cluster) term(i int) uint64 {
	cl.t.Helper()
	var term uint64
	check(cl.t, cl.controls[i].runInLoop(context.Background(), func(time.Time) { term = cl.controls[i].machine.Term() }))
	return term
}

func (cl *cluster) publish(i int, version uint64, content string) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := cl.controls[i].PublishDocument(ctx, &wire.Publication{
		Version:  version,
		Document: []byte(content),
	})
	check(cl.t, err)
}

func (cl *cluster) read(i int) *wire.Publication {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	publication, err := cl.controls[i].ReadDocument(ctx)
	check(cl.t, err)
	return publication
}

// TestOpenMembership checks that no acknowledged publication is lost when the seeds form a cluster, a fourth instance joins, each instance in turn loses its disk right after an acknowledgement and rejoins, and finally all instances restart.
func TestOpenMembership(t *testing.T) {
	cl := newCluster(t, 4)
	for i := range cl.controls {
		cl.awaitVoters(i)
	}
	version := uint64(0)
	for i := range cl.controls {
		version++
		cl.publish(i, version, fmt.Sprint(version))
		cl.wipe(i)
		cl.start(i)
		cl.awaitVoters(i)
		if got := cl.read(i).GetVersion(); got != version {
			t.Fatalf("version %d after instance %d lost its disk, want %d", got, i, version)
		}
	}
	for i := range cl.controls {
		cl.stop(i)
	}
	for i := range cl.controls {
		cl.start(i)
	}
	for i := range cl.controls {
		if got := cl.read(i); got.GetVersion() != version || string(got.GetDocument()) != fmt.Sprint(version) {
			t.Errorf("instance %d reads version %d after all instances restarted, want %d", i, got.GetVersion(), version)
		}
	}
}

// TestAbsentInstanceLosesItsVote checks that an instance which is replaced at another address, or is down for long, does not remain a voter, and that the latter gets its vote back.
func TestAbsentInstanceLosesItsVote(t *testing.T) {
	const absent = 3
	cl := newCluster(t, 4)
	for i := range cl.controls {
		cl.awaitVoters(i)
	}
	cl.stop(absent)
	cl.awaitVoterCount(0, len(cl.controls)-1)
	cl.start(absent)
	// The restarted instance itself takes itself for a voter until it has received the entry that removed it.
	cl.awaitVoterCount(0, len(cl.controls))
	cl.awaitVoters(absent)

	cl.stop(absent)
	cl.moveTo(absent, "127.0.7.9")
	cl.start(absent)
	cl.awaitVoterCount(0, len(cl.controls)+1)
	cl.awaitVoters(0)
}

// TestJoinThroughNonSeedLeader checks that an instance without a journal can join while the leader is not a seed. It learns the leader's address from the responses of the seeds.
func TestJoinThroughNonSeedLeader(t *testing.T) {
	const nonSeed = 3
	cl := newCluster(t, 4)
	for i := range cl.controls {
		cl.awaitVoters(i)
	}
	for leader := cl.awaitLeader(); leader != nonSeed; leader = cl.awaitLeader() {
		cl.stop(leader)
		cl.awaitLeader()
		cl.start(leader)
	}
	cl.wipe(0)
	cl.start(0)
	cl.awaitVoters(0)
}

// TestEmptyDataFolderNeverFormsCluster checks that a seed that has lost its disk does not form a new cluster by itself.
func TestEmptyDataFolderNeverFormsCluster(t *testing.T) {
	cl := newCluster(t, 3)
	cl.publish(0, 1, "first")
	for i := range cl.controls {
		cl.stop(i)
	}
	check(t, os.RemoveAll(cl.settings[0].DataFolder))
	cl.start(0)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if publication, err := cl.controls[0].ReadDocument(ctx); err == nil {
		t.Errorf("read version %d from an instance without a cluster", publication.GetVersion())
	}
	cl.start(1)
	cl.start(2)
	if got := cl.read(0).GetVersion(); got != 1 {
		t.Errorf("version %d, want 1", got)
	}
}

// TestReadIsNewest checks that reads are linearizable: a read at any instance that starts after a publication was acknowledged returns no older version, also when the leader stops.
func TestReadIsNewest(t *testing.T) {
	cl := newCluster(t, 4)
	cl.awaitVoters(0)
	for version := uint64(1); version <= 30; version++ {
		publisher := int(version) % len(cl.controls)
		cl.publish(publisher, version, "content")
		reader := (publisher + 1) % len(cl.controls)
		if got := cl.read(reader).GetVersion(); got != version {
			t.Fatalf("read version %d, want the acknowledged version %d", got, version)
		}
		if version%10 == 0 {
			leader := cl.awaitLeader()
			cl.stop(leader)
			other := (leader + 1) % len(cl.controls)
			if got := cl.read(other).GetVersion(); got != version {
				t.Fatalf("read version %d after the leader stopped, want the acknowledged version %d", got, version)
			}
			cl.start(leader)
		}
	}
}

// TestLeaderWithoutQuorumRejectsReads checks that a leader without a quorum, which it may not have noticed yet, serves no reads and acknowledges no publications.
func TestLeaderWithoutQuorumRejectsReads(t *testing.T) {
	cl := newCluster(t, 4)
	cl.awaitVoters(0)
	cl.publish(0, 1, "first")
	leader := cl.awaitLeader()
	for i := range cl.controls {
		if i != leader {
			cl.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*testElectionTimeoutMs*time.Millisecond)
	defer cancel()
	if _, err := cl.controls[leader].ReadDocument(ctx); err == nil {
		t.Error("a leader without a quorum served a read")
	}
	if _, err := cl.controls[leader].PublishDocument(ctx, &wire.Publication{
		Version: 2,
	}); err == nil {
		t.Error("a leader without a quorum acknowledged a publication")
	}
}

// blockDisk lets the instance's writes fail until the returned function is called.
func (cl *cluster) blockDisk(i int) func() {
	cl.t.Helper()
	folder := cl.settings[i].DataFolder
	check(cl.t, os.Rename(folder, folder+".away"))
	check(cl.t, cl.controls[i].store.Close())
	return func() { check(cl.t, os.Rename(folder+".away", folder)) }
}

// TestBlockedDiskIsNotConfirmed guards against entry instances that go on with an old version because their control instance confirms what it has, although its disk takes no writes.
func TestBlockedDiskIsNotConfirmed(t *testing.T) {
	cl := newCluster(t, 3)
	cl.awaitVoters(0)
	cl.publish(0, 1, "first")
	follower := (cl.awaitLeader() + 1) % len(cl.controls)
	unblock := cl.blockDisk(follower)
	defer unblock()
	cl.publish(cl.awaitLeader(), 2, "second")
	time.Sleep(3 * testElectionTimeoutMs * time.Millisecond)
	response, err := cl.controls[follower].changesSince(t.Context(), 1)
	check(t, err)
	if response.GetVersion() != 2 && response.GetConfirmed() {
		t.Errorf("version %d is confirmed after version 2 was acknowledged", response.GetVersion())
	}
}

// TestLeaderOutlastsFollowersDisks checks that a leader keeps its term while the disks of all its followers refuse a write, and that the write is acknowledged once they accept it.
func TestLeaderOutlastsFollowersDisks(t *testing.T) {
	cl := newCluster(t, 3)
	cl.awaitVoters(0)
	cl.publish(0, 1, "first")
	leader := cl.awaitLeader()
	term := cl.term(leader)
	var unblock []func()
	for i := range cl.controls {
		if i != leader {
			unblock = append(unblock, cl.blockDisk(i))
		}
	}
	published := make(chan error, 1)
	go func() {
		_, err := cl.controls[leader].PublishDocument(t.Context(), &wire.Publication{
			Version: 2,
		})
		published <- err
	}()
	time.Sleep(5 * testElectionTimeoutMs * time.Millisecond)
	if got := cl.term(leader); got != term {
		t.Errorf("term %d, want %d", got, term)
	}
	for _, unblockDisk := range unblock {
		unblockDisk()
	}
	select {
	case err := <-published:
		check(t, err)
	case <-time.After(testTimeout):
		t.Fatal("not acknowledged after the disks recovered")
	}
	if got := cl.term(leader); got != term {
		t.Errorf("term %d after the disks recovered, want %d", got, term)
	}
}

// TestPlanNeedsQuorum checks that a leader returns no plan, even within its lease, unless a quorum has confirmed its leadership after the request.
func TestPlanNeedsQuorum(t *testing.T) {
	cl := newCluster(t, 3)
	cl.awaitVoters(0)
	leader := cl.awaitLeader()
	for i := range cl.controls {
		if i != leader {
			cl.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testElectionTimeoutMs/2*time.Millisecond)
	defer cancel()
	if _, _, err := cl.controls[leader].leaderConfig(ctx); err == nil {
		t.Error("the configuration for a plan was returned without a quorum")
	}
}

func newReplica(sequence uint64, state wire.ReplicaState) *wire.Replica {
	return &wire.Replica{
		Id:       "r1",
		Service:  "shard",
		Address:  "127.0.0.1:1",
		BornMs:   5,
		Sequence: sequence,
		State:    state,
	}
}

// TestAnnounce checks that every other instance serves an acknowledged drain, although the instance that acknowledged it loses its disk immediately and the others restart.
func TestAnnounce(t *testing.T) {
	cl := newCluster(t, 4)
	cl.awaitVoters(3)
	check(t, cl.controls[3].Announce(t.Context(), newReplica(1, wire.ReplicaState_REPLICA_STATE_READY)))
	check(t, cl.controls[3].Announce(t.Context(), newReplica(2, wire.ReplicaState_REPLICA_STATE_READY)))
	check(t, cl.controls[3].Announce(t.Context(), newReplica(3, wire.ReplicaState_REPLICA_STATE_DRAINING)))
	cl.wipe(3)
	for i := range 3 {
		cl.stop(i)
		cl.start(i)
	}
	for i := range 3 {
		cl.read(i)
		client := wireconnect.NewFleetServiceClient(cl.controls[i].client, "http://"+cl.controls[i].Address())
		deadline := time.Now().Add(testTimeout)
		for {
			response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
				Instance: "entry-1",
			}))
			check(t, err)
			isDraining := slices.ContainsFunc(response.Msg.GetReplicas(), func(r *wire.Replica) bool {
				return r.GetId() == "r1" && r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
			})
			if isDraining && response.Msg.GetWhole() {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("instance %d returns replicas %v, want r1 draining", i, response.Msg.GetReplicas())
			}
		}
	}
}

// TestFollowIsHeld checks that a call without changes returns at the next change, or when its hold time has passed.
// TestSignsOfLife guards against a replica that is never found lost, because late check-ins of its earlier incarnation or those of another writer count as its own.
func TestSignsOfLife(t *testing.T) {
	c := newCluster(t, 1).controls[0]
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	inUse := &wire.Replica{
		Id:       "r1",
		Service:  "s1",
		Address:  "10.0.0.1:1",
		BornMs:   5,
		Sequence: 3,
	}
	check(t, c.Announce(ctx, inUse))
	other := proto.CloneOf(inUse)
	other.Id, other.Address, other.BornMs = "r2", "10.0.0.2:1", 9
	check(t, c.Announce(ctx, other))
	cases := []struct {
		name   string
		change func(r *wire.Replica)
		want   bool
		// isOutdated is set if the announcement is not acknowledged.
		isOutdated bool
	}{
		{"own", func(r *wire.Replica) { r.Sequence = 4 }, true, false},
		{"own, out of order", func(r *wire.Replica) { r.Sequence = 2 }, true, false},
		{"earlier incarnation", func(r *wire.Replica) { r.BornMs = 4 }, false, true},
		{"drain of the earlier incarnation", func(r *wire.Replica) {
			r.BornMs = 4
			r.State = wire.ReplicaState_REPLICA_STATE_DRAINING
		}, false, true},
		{"drain at the address of another", func(r *wire.Replica) {
			r.Address = "10.0.0.2:1"
			r.State = wire.ReplicaState_REPLICA_STATE_DRAINING
		}, false, false},
		{"foreign", func(r *wire.Replica) {
			r.Service = "s2"
			r.Sequence = 9
		}, false, false},
		{"next incarnation", func(r *wire.Replica) { r.BornMs = 6 }, true, false},
	}
	for _, test := range cases {
		c.heartbeats.mutex.Lock()
		delete(c.heartbeats.lastHeartbeatAt, "r1")
		c.heartbeats.mutex.Unlock()
		announcement := proto.CloneOf(inUse)
		test.change(announcement)
		err := c.Announce(ctx, announcement)
		var outdated *OutdatedAnnouncementError
		var foreign *ForeignAnnouncementError
		isRefused := errors.As(err, &foreign) && announcement.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
		if isOutdated := errors.As(err, &outdated); isOutdated != test.isOutdated || err != nil && !isOutdated && !isRefused {
			t.Errorf("%s: %v, want outdated %t", test.name, err, test.isOutdated)
		}
		known, findErr := c.FindReplica(ctx, "r1")
		check(t, findErr)
		if err == nil && announcement.GetState() != known.GetState() {
			t.Errorf("%s: acknowledged without effect on %v", test.name, known)
		}
		c.heartbeats.mutex.Lock()
		_, got := c.heartbeats.lastHeartbeatAt["r1"]
		c.heartbeats.mutex.Unlock()
		if got != test.want {
			t.Errorf("%s: sign of life %t, want %t", test.name, got, test.want)
		}
	}
}

// TestDepartureAtInstanceThatIsBehind guards against a departure that is acknowledged without effect because the instance that receives it does not know the replica's incarnation yet.
func TestDepartureAtInstanceThatIsBehind(t *testing.T) {
	cl := newCluster(t, 3)
	follower := cl.controls[(cl.awaitLeader()+1)%len(cl.controls)]
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	replica := &wire.Replica{
		Id:      "r1",
		Service: "s1",
		Address: "10.0.0.1:1",
		BornMs:  5,
	}
	for _, known := range [][]*wire.Replica{nil, {replica}} {
		replica = proto.CloneOf(replica)
		replica.BornMs += 2 * time.Minute.Milliseconds()
		check(t, follower.Announce(ctx, replica))
		check(t, follower.runInLoop(ctx, func(time.Time) { follower.state.Enroller = enroller.New(known) }))
		for _, c := range cl.controls {
			// The incarnation before is too long ago to be meant.
			check(t, c.runInLoop(ctx, func(time.Time) {
				if r := c.state.Enroller.Find("r1"); r != nil {
					r.ReplacedMs = 0
				}
			}))
		}
		check(t, follower.Deregister(ctx, &wire.Replica{
			Id: "r1",
		}))
		leader := cl.controls[cl.awaitLeader()]
		got, err := leader.FindReplica(ctx, "r1")
		check(t, err)
		if got.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT || got.GetBornMs() != replica.GetBornMs() {
			t.Errorf("with %v known: the leader has %v, want that it has left", known, got)
		}
	}
}

func TestFollowIsHeld(t *testing.T) {
	cl := newCluster(t, 3)
	cl.publish(0, 1, "first")
	client := wireconnect.NewFleetServiceClient(cl.controls[0].client, "http://"+cl.controls[0].Address())
	follow := func(since, version uint64, hold time.Duration) (*wire.FollowResponse, time.Duration) {
		start := time.Now()
		response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
			Instance: "entry-1",
			Since:    since,
			Version:  version,
			HoldMs:   uint32(hold.Milliseconds()),
			Heard:    true,
		}))
		check(t, err)
		return response.Msg, time.Since(start)
	}
	if response, elapsed := follow(0, 0, time.Second); response.GetVersion() != 1 || elapsed > 500*time.Millisecond {
		t.Errorf("first call returned version %d after %s, want version 1 at once", response.GetVersion(), elapsed)
	}
	idle, elapsed := follow(1000, 1, 200*time.Millisecond)
	if elapsed < 200*time.Millisecond {
		t.Errorf("call without changes returned after %s, want the whole hold time", elapsed)
	}
	time.AfterFunc(100*time.Millisecond, func() {
		_ = cl.controls[1].Announce(context.Background(), newReplica(1, wire.ReplicaState_REPLICA_STATE_READY))
	})
	response, elapsed := follow(idle.GetIndex(), 1, 5*time.Second)
	if len(response.GetReplicas()) != 1 || elapsed > 2*time.Second {
		t.Errorf("held call returned replicas %v after %s, want the announced one at once", response.GetReplicas(), elapsed)
	}
}

// TestChangesAreBatched checks that an entry instance receives many replicas that start at once in few responses.
func TestChangesAreBatched(t *testing.T) {
	const replicas, maxResponses = 60, 15
	cl := newCluster(t, 3)
	cl.publish(0, 1, "first")
	cl.awaitVoters(0)
	client := wireconnect.NewFleetServiceClient(cl.controls[0].client, "http://"+cl.controls[0].Address())
	for i := range replicas {
		time.AfterFunc(time.Duration(i)*4*time.Millisecond, func() {
			replica := newReplica(1, wire.ReplicaState_REPLICA_STATE_READY)
			replica.Id = fmt.Sprintf("r%d", i)
			replica.Address = fmt.Sprintf("127.0.0.1:%d", i+1)
			_ = cl.controls[i%3].Announce(context.Background(), replica)
		})
	}
	received, responses, since := 0, 0, uint64(0)
	for deadline := time.Now().Add(testTimeout); received < replicas; responses++ {
		if time.Now().After(deadline) {
			t.Fatalf("received %d replicas before the timeout", received)
		}
		response, err := client.Follow(t.Context(), connect.NewRequest(&wire.FollowRequest{
			Instance: "entry-1",
			Since:    since,
			Version:  1,
			HoldMs:   500,
			Heard:    true,
		}))
		check(t, err)
		received += len(response.Msg.GetReplicas())
		since = response.Msg.GetIndex()
	}
	if responses > maxResponses {
		t.Errorf("%d responses for %d replicas", responses, replicas)
	}
}

// TestEntryInstancesSentOnlyOnChange checks that only calls with a hold time receive the entry instances, not before followerTTL has passed since the start, and again only when they change.
func TestEntryInstancesSentOnlyOnChange(t *testing.T) {
	cl := newCluster(t, 3)
	cl.awaitVoters(0)
	client := wireconnect.NewFleetServiceClient(cl.controls[0].client, "http://"+cl.controls[0].Address())
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
		t.Errorf("response of a control instance that has just started: %v", first)
	}
	cl.controls[0].followers.startTime = time.Now().Add(-followerTTL)
	roster = first.GetRoster()
	if poll := follow("entry-1", 0); len(poll.GetEntries())+len(poll.GetMembers()) > 0 {
		t.Errorf("response to a call without a hold time: %v", poll)
	}
	held := follow("entry-1", 1)
	roster = held.GetRoster()
	if repeated := follow("entry-1", 1); len(held.GetEntries()) != 1 || len(repeated.GetEntries()) > 0 {
		t.Errorf("entries %v, then %v; want one entry, then none", held.GetEntries(), repeated.GetEntries())
	}
	if changed := follow("entry-2", 1); len(changed.GetEntries()) != 2 {
		t.Errorf("entries %v after a change, want 2", changed.GetEntries())
	}
}
