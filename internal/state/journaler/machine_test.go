package journaler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

var testStart = time.Unix(1000, 0)

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func newFollower(hard *wire.HardState, entries ...*wire.JournalEntry) *Machine {
	var members Members
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, &wire.ControlMember{
			Id: id,
		})
	}
	hard.Id = "b"
	return New(testTiming, rand.New(rand.NewPCG(1, 1)), PersistentState{
		HardState: hard,
		Snapshot: &wire.JournalSnapshot{
			Members: &wire.MemberList{
				Members: members,
			},
		},
		Entries: entries,
	}, at(0))
}

func voteRequest(term uint64) *wire.JournalMessage {
	return &wire.JournalMessage{
		From: "c",
		To:   "b",
		Term: term,
		Body: &wire.JournalMessage_VoteAsk{
			VoteAsk: &wire.VoteAsk{
				LastIndex: 100,
				LastTerm:  100,
			},
		},
	}
}

func heartbeat(term uint64) *wire.JournalMessage {
	return &wire.JournalMessage{
		From: "a",
		To:   "b",
		Term: term,
		Body: &wire.JournalMessage_AppendAsk{
			AppendAsk: &wire.AppendAsk{},
		},
	}
}

// TestNoVoteWithinLease checks that an instance grants no vote within the lease that it has just confirmed, even after a restart or a message of a newer term.
func TestNoVoteWithinLease(t *testing.T) {
	cases := []struct {
		name    string
		between func(m *Machine) *Machine
	}{
		{"no event", func(m *Machine) *Machine { return m }},
		{"restart", func(*Machine) *Machine {
			return newFollower(&wire.HardState{
				Term: 3,
			})
		}},
		{"denied pre-vote of a newer term", func(m *Machine) *Machine {
			m.Step(at(1), &wire.JournalMessage{
				From: "c",
				To:   "b",
				Term: 4,
				Body: &wire.JournalMessage_VoteReply{
					VoteReply: &wire.VoteReply{
						Pre: true,
					},
				},
			})
			return m
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newFollower(&wire.HardState{
				Term: 3,
			})
			m.Step(at(0), heartbeat(3))
			m = c.between(m)
			m.TakeActions()
			m.Step(at(50), voteRequest(5))
			for _, message := range m.TakeActions().Messages {
				if message.GetVoteReply().GetGranted() {
					t.Errorf("granted a vote within the lease: %v", message)
				}
			}
			m.Step(at(110), voteRequest(5))
			if granted := m.TakeActions().Messages; len(granted) != 1 || !granted[0].GetVoteReply().GetGranted() {
				t.Errorf("granted no vote after the election timeout: %v", granted)
			}
		})
	}
}

// grantVotes delivers c's replies to the pre-vote and the vote of b in term 1.
func grantVotes(m *Machine, now time.Time) {
	for _, pre := range []bool{true, false} {
		m.Step(now, &wire.JournalMessage{
			From: "c",
			To:   "b",
			Term: 1,
			Body: &wire.JournalMessage_VoteReply{
				VoteReply: &wire.VoteReply{
					Pre:     pre,
					Granted: true,
				},
			},
		})
	}
}

// TestNoLeaseFromOldVote checks that votes which arrive long after the election started do not give the leader a lease.
func TestNoLeaseFromOldVote(t *testing.T) {
	m := newFollower(&wire.HardState{})
	m.Tick(at(250))
	m.TakeActions()
	grantVotes(m, at(5000))
	if m.Role() != Leader || m.HasLease(at(5000)) || m.InContact(at(5000)) {
		t.Errorf("role %d, lease %t, in contact %t; want a leader without a lease", m.Role(), m.HasLease(at(5000)), m.InContact(at(5000)))
	}
}

// TestInstallKeepsBatch checks that entries acknowledged in the same batch as a snapshot are still saved, and that entries conflicting with the snapshot are truncated.
func TestInstallKeepsBatch(t *testing.T) {
	entry := func(index, term uint64) *wire.JournalEntry {
		return &wire.JournalEntry{
			Index: index,
			Term:  term,
		}
	}
	snapshot := func(index, term uint64) *wire.JournalMessage {
		return &wire.JournalMessage{
			From: "a",
			To:   "b",
			Term: 3,
			Body: &wire.JournalMessage_SnapshotAsk{
				SnapshotAsk: &wire.SnapshotAsk{
					Snapshot: &wire.JournalSnapshot{
						Index: index,
						Term:  term,
					},
				},
			},
		}
	}
	m := newFollower(&wire.HardState{
		Term: 3,
	})
	request := heartbeat(3)
	request.GetAppendAsk().Entries = []*wire.JournalEntry{entry(1, 3), entry(2, 3)}
	m.Step(at(1), request)
	m.Step(at(2), snapshot(1, 3))
	if got := m.TakeActions().Entries; len(got) != 2 {
		t.Errorf("entries to save: %v, want both acknowledged entries", got)
	}
	m = newFollower(&wire.HardState{
		Term: 3,
	}, entry(1, 1), entry(2, 1), entry(3, 1))
	m.Step(at(1), snapshot(2, 3))
	if actions := m.TakeActions(); actions.TruncateFrom != 3 || m.LastIndex() != 2 {
		t.Errorf("truncate from %d, last index %d; want 3 and 2", actions.TruncateFrom, m.LastIndex())
	}
}

// TestRestartAppliesStoredCommits checks that a restarted instance applies entries up to the stored commit index before it hears from a leader, and no further than its log reaches.
func TestRestartAppliesStoredCommits(t *testing.T) {
	for _, c := range []struct{ stored, want uint64 }{{0, 0}, {2, 2}, {9, 3}} {
		saved := PersistentState{
			HardState: &wire.HardState{
				Id: "a",
			},
			CommitIndex: c.stored,
		}
		for index := range uint64(3) {
			saved.Entries = append(saved.Entries, &wire.JournalEntry{
				Index: index + 1,
				Term:  1,
			})
		}
		m := New(testTiming, rand.New(rand.NewPCG(1, 1)), saved, time.Unix(1000, 0))
		actions := m.TakeActions()
		if m.CommitIndex() != c.want || len(actions.CommittedEntries) != int(c.want) || m.Role() != Follower {
			t.Errorf("stored commit index %d: commit index %d, %d entries to apply, role %d", c.stored, m.CommitIndex(), len(actions.CommittedEntries), m.Role())
		}
	}
}

// TestLostElectionNamesItsVotes checks that an instance that nobody answers reports who has granted its pre-vote.
func TestLostElectionNamesItsVotes(t *testing.T) {
	m := newFollower(&wire.HardState{})
	for ms := 0; m.LostElection().Count < 2; ms++ {
		m.Tick(at(ms))
	}
	lost := m.LostElection()
	if !lost.IsPreVote || lost.Quorum != 2 || !slices.Equal(lost.GrantedBy, []string{"b"}) {
		t.Errorf("lost election %+v, want a pre-vote granted by b alone", lost)
	}
}

// newLeader returns instance b as the leader of term 1, with its first entry committed by an acknowledgement from c at 260 ms.
func newLeader(t *testing.T) *Machine {
	t.Helper()
	m := newFollower(&wire.HardState{})
	m.Tick(at(250))
	grantVotes(m, at(250))
	m.Step(at(260), &wire.JournalMessage{
		From: "c",
		To:   "b",
		Term: 1,
		Body: &wire.JournalMessage_AppendReply{
			AppendReply: &wire.AppendReply{
				Matched: true,
				Index:   1,
				Round:   1,
			},
		},
	})
	if m.Role() != Leader || !m.HasLease(at(260)) {
		t.Fatalf("role %d, lease %t; want a leader with a lease", m.Role(), m.HasLease(at(260)))
	}
	return m
}

// TestSuspendedLeaderHasNoLease checks that a leader which wakes after its lease has expired serves no reads and accepts no proposals before its next tick, given a clock that counts the suspended time.
func TestSuspendedLeaderHasNoLease(t *testing.T) {
	m := newLeader(t)
	woken := at(5000)
	if m.HasLease(woken) || m.InContact(woken) {
		t.Errorf("lease %t, in contact %t after the suspension", m.HasLease(woken), m.InContact(woken))
	}
	if _, _, err := m.Propose(woken, wire.EntryKind_ENTRY_KIND_COMMAND, nil); err == nil {
		t.Error("accepted a proposal after the suspension")
	}
	m.Tick(woken)
	if m.Role() == Leader {
		t.Error("still the leader after the first tick")
	}
}
