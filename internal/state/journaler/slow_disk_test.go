package journaler

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestSlowDisksKeepLeader guards against elections that go on while writes take up to an election timeout: a leader that waits for its disk, or for those of the others, is still in contact with them.
func TestSlowDisksKeepLeader(t *testing.T) {
	const proposals = 500
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		c.unreliable = false
		c.runFor(time.Second)
		c.maxSaveTime = testTiming.ElectionTimeout
		electionsBefore, ackedBefore := len(c.leaderOfTerm), c.ackedIndex
		for i := range proposals {
			c.runFor(20 * time.Millisecond)
			if n := c.leader(); n != nil {
				c.propose(n, fmt.Sprint(i))
			}
		}
		if elections := len(c.leaderOfTerm) - electionsBefore; elections > 1 {
			t.Errorf("seed %d: %d elections", seed, elections)
		}
		if acked := c.ackedIndex - ackedBefore; acked < proposals*9/10 {
			t.Errorf("seed %d: %d of %d proposals acknowledged", seed, acked, proposals)
		}
	}
}

// TestStalledDiskLosesLeadership checks that another instance is elected if the disk of the leader takes no writes.
func TestStalledDiskLosesLeadership(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.unreliable = false
	c.runFor(time.Second)
	stalled := c.leader()
	c.propose(stalled, "stalls")
	stalled.processInbox(noCrash)
	stalled.saving = &Actions{}
	stalled.savedAt = c.now.Add(time.Hour)
	c.propose(stalled, "waits")
	c.runFor(10 * testTiming.ElectionTimeout)
	if leader := c.leader(); leader == nil || leader == stalled {
		t.Error("no other instance leads")
	}
}

// TestSlowDisksUnderFaults checks the promises of the journal while messages overtake writes.
func TestSlowDisksUnderFaults(t *testing.T) {
	for _, size := range []int{3, 4, 5} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
				c := newCluster(t, seed, size)
				c.maxSaveTime = time.Duration(5+10*(seed%8)) * time.Millisecond
				c.runWithFaults(6000, 90)
				c.maxSaveTime = testStep
				c.checkRecovery()
			})
		}
	}
}

// appendRequest returns an append of entries with the indexes from first to last, all of the term; none if last is less than first.
func appendRequest(term, prevTerm, first, last uint64) *wire.JournalMessage {
	request := &wire.AppendAsk{
		PrevIndex: first - 1,
		PrevTerm:  prevTerm,
	}
	for index := first; index <= last; index++ {
		request.Entries = append(request.Entries, &wire.JournalEntry{
			Index: index,
			Term:  term,
		})
	}
	return &wire.JournalMessage{
		From: "a",
		To:   "b",
		Term: term,
		Body: &wire.JournalMessage_AppendAsk{
			AppendAsk: request,
		},
	}
}

// TestEarlyReplyCoversOnlyDurableEntries checks that a follower which has not saved all that it was sent replies early to a heartbeat with what is durable, and not at all while its term is not.
func TestEarlyReplyCoversOnlyDurableEntries(t *testing.T) {
	cases := []struct {
		name string
		// unsaved is received, but not durable when the heartbeat after index 3 arrives.
		unsaved   *wire.JournalMessage
		heartbeat *wire.JournalMessage
		wantEarly bool
		wantIndex uint64
	}{
		{"all durable", nil, appendRequest(1, 1, 4, 3), true, 3},
		{"an entry not durable", appendRequest(1, 1, 4, 4), appendRequest(1, 1, 5, 4), true, 3},
		{"entries replaced", appendRequest(1, 1, 2, 3), appendRequest(1, 1, 4, 3), true, 3},
		{"term not durable", appendRequest(2, 1, 4, 4), appendRequest(2, 2, 5, 4), false, 0},
	}
	for _, c := range cases {
		m := newFollower(&wire.HardState{
			Term: 1,
		})
		m.Step(at(0), appendRequest(1, 0, 1, 3))
		m.TakeActions()
		m.TakeActions()
		m.TakeEarlyMessages()
		if c.unsaved != nil {
			m.Step(at(1), c.unsaved)
			m.TakeActions()
		}
		m.Step(at(2), c.heartbeat)
		early := m.TakeEarlyMessages()
		if (len(early) == 1) != c.wantEarly || c.wantEarly && early[0].GetAppendReply().GetIndex() != c.wantIndex {
			t.Errorf("%s: early replies %v, want index %d", c.name, early, c.wantIndex)
		}
	}
}

// TestEarlyReplyForgetsReplacedEntries checks that durable entries which a leader of a newer term has replaced do not count as durable until the new ones are.
func TestEarlyReplyForgetsReplacedEntries(t *testing.T) {
	m := newFollower(&wire.HardState{
		Term: 1,
	})
	m.Step(at(0), appendRequest(1, 0, 1, 3))
	m.TakeActions()
	m.Step(at(1), appendRequest(2, 0, 1, 0))
	m.TakeActions()
	m.TakeActions()
	m.TakeEarlyMessages()
	m.Step(at(2), appendRequest(2, 1, 2, 3))
	m.TakeActions()
	m.Step(at(3), appendRequest(2, 2, 4, 3))
	early := m.TakeEarlyMessages()
	if len(early) != 1 || early[0].GetAppendReply().GetIndex() != 1 {
		t.Errorf("early replies %v, want index 1", early)
	}
}
