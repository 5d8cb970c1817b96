package journaler

import (
	"fmt"
	"testing"
	"time"
)

// newOpenCluster returns a reliable cluster with an open membership, each instance in its own zone, and waits until all zones are recorded.
func newOpenCluster(t *testing.T, seed uint64, size int) *cluster {
	t.Helper()
	c := newCluster(t, seed, size)
	c.unreliable = false
	c.openMembership = true
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

// TestLostDiskAfterReplacements checks that instances which were replaced do not keep the quorum out of reach when another one loses its disk.
func TestLostDiskAfterReplacements(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newOpenCluster(t, seed, 4)
			for _, i := range []int{0, 3} {
				c.replace(i, 1200*time.Millisecond)
				c.runFor(10 * time.Second)
			}
			c.acknowledge("after the replacements")
			c.restartWithLostDisks(int(seed) % 4)
			c.checkRecovery()
		})
	}
}
