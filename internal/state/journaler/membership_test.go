package journaler

import (
	"fmt"
	"testing"
	"time"
)

// catchUpTime is how long after the start of an instance the cluster has to bear the next loss.
const catchUpTime = 4 * time.Second

// newOpenCluster returns a reliable cluster with an open membership, each instance in its own zone, and waits until all zones are recorded.
func newOpenCluster(t *testing.T, seed uint64, size, toleratedLosses int) *cluster {
	t.Helper()
	c := newCluster(t, seed, size)
	c.unreliable = false
	c.openMembership = true
	c.recoveryTime = catchUpTime
	c.toleratedLosses = toleratedLosses
	for i, n := range c.nodes {
		n.zone = fmt.Sprintf("zone-%d", i)
		n.joining = true
		n.start()
	}
	c.runFor(2 * time.Second)
	return c
}

// replace stops an instance for good and starts another one in its zone after the delay.
func (c *cluster) replace(i int, delay time.Duration) {
	c.nodes[i].crash()
	c.runFor(delay)
	c.identityCount++
	successor := &node{
		cluster: c,
		address: fmt.Sprintf("successor-%d", c.identityCount),
		zone:    c.nodes[i].zone,
	}
	successor.id = successor.address
	c.nodes[i] = successor
	successor.startEmpty()
}

// isolate cuts an instance off from all others.
func (c *cluster) isolate(i int) {
	for j := range c.nodes {
		c.blockedLinks[c.nodes[i].address+">"+c.nodes[j].address] = true
		c.blockedLinks[c.nodes[j].address+">"+c.nodes[i].address] = true
	}
}

// acknowledge commits an entry and fails the test if no leader does.
func (c *cluster) acknowledge(payload string) {
	c.t.Helper()
	leader := c.leader()
	if leader == nil {
		c.failf("no leader with a lease")
	}
	before := c.ackedIndex
	c.propose(leader, payload)
	c.runFor(100 * time.Millisecond)
	if c.ackedIndex == before {
		c.failf("%q was not acknowledged", payload)
	}
}

// restartWithLostDisks restarts all instances at once, the given ones with empty disks.
func (c *cluster) restartWithLostDisks(lost ...int) {
	for _, n := range c.nodes {
		n.start()
	}
	for _, i := range lost {
		c.nodes[i].loseDisk()
	}
}

// replacementCase replaces instances of an open cluster, one after the other.
type replacementCase struct {
	size, toleratedLosses int
	replaced              []int
}

// run replaces the instances, with what happens after each, for several seeds, and then restarts all of them and loses as many disks as are to be borne.
func (r replacementCase) run(t *testing.T, afterEach func(c *cluster)) {
	t.Helper()
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("%d instances, seed %d", r.size, seed), func(t *testing.T) {
			c := newOpenCluster(t, seed, r.size, r.toleratedLosses)
			for _, i := range r.replaced {
				c.replace(i, 1200*time.Millisecond)
				afterEach(c)
			}
			c.acknowledge("after the replacements")
			c.restartWithLostDisks(c.random.Perm(r.size)[:r.toleratedLosses]...)
			c.checkRecovery()
		})
	}
}

// TestLostDiskAfterReplacements checks that instances which were replaced do not keep the quorum out of reach when others lose their disks.
func TestLostDiskAfterReplacements(t *testing.T) {
	for _, test := range []replacementCase{
		{
			size:            4,
			toleratedLosses: 1,
			replaced:        []int{0, 3},
		},
		{
			size:            5,
			toleratedLosses: 2,
			replaced:        []int{0, 1, 2, 0},
		},
		{
			size:            8,
			toleratedLosses: 2,
			replaced:        []int{0, 1, 2, 7, 6},
		},
	} {
		test.run(t, func(c *cluster) { c.runFor(catchUpTime) })
	}
}

// TestSilentVotersKeepEnoughDisks checks that instances cut off for a long time join again, and that the others never commit on too few disks meanwhile.
func TestSilentVotersKeepEnoughDisks(t *testing.T) {
	for _, test := range []struct {
		size, toleratedLosses int
	}{
		{
			size:            4,
			toleratedLosses: 1,
		},
		{
			size:            5,
			toleratedLosses: 2,
		},
		{
			size:            8,
			toleratedLosses: 2,
		},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d instances, seed %d", test.size, seed), func(t *testing.T) {
				c := newOpenCluster(t, seed, test.size, test.toleratedLosses)
				order := c.random.Perm(test.size)
				cutOff := order[:test.toleratedLosses]
				for _, i := range cutOff {
					c.isolate(i)
				}
				c.runFor(2 * maxMemberSilence)
				c.acknowledge("while some are cut off")
				c.restartWithLostDisks(order[len(cutOff) : len(cutOff)+test.toleratedLosses]...)
				c.checkRecovery()
				for _, n := range c.nodes {
					if !c.leader().machine.Members().IsVoter(n.id) {
						c.failf("%s is no voter after its return", n.id)
					}
				}
			})
		}
	}
}

// TestOpenMembershipUnderFaults checks the promises of the journal while silent instances are removed and join again.
func TestOpenMembershipUnderFaults(t *testing.T) {
	for _, size := range []int{4, 5} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
				c := newOpenCluster(t, seed, size, 1)
				c.unreliable = true
				c.runWithFaults(15000, 700)
				c.checkRecovery()
			})
		}
	}
}

// TestLostDiskAfterReplacementsAmongSplits checks that instances which were replaced lose their votes although no leader stays for long.
func TestLostDiskAfterReplacementsAmongSplits(t *testing.T) {
	const (
		splitDuration  = 3 * time.Second
		leaderDuration = 2 * time.Second
	)
	for _, test := range []replacementCase{
		{
			size:            4,
			toleratedLosses: 1,
			replaced:        []int{0, 3},
		},
		{
			size:            5,
			toleratedLosses: 2,
			replaced:        []int{0, 1, 2},
		},
		{
			size:            6,
			toleratedLosses: 2,
			replaced:        []int{0, 1, 5},
		},
	} {
		test.run(t, func(c *cluster) {
			c.partition()
			c.runFor(splitDuration)
			c.blockedLinks = map[string]bool{}
			c.runFor(leaderDuration)
		})
	}
}
