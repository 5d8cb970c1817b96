package checker

import (
	"net"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Formation is how control instances find each other.
type Formation struct {
	// Seeds name hosts with a control instance as host:port; the port is another interface's, only the hosts count.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole system starts for the first time, with empty disks.
	FirstStart bool `json:"first-start"`
}

// PlatformControl is what a control instance serves to a platform.
type PlatformControl struct {
	Listen        string `json:"listen"`
	ListenMetrics string `json:"listen-metrics"`
}

// Forms reports whether the instance is one of those that form the first membership.
func (c *Control) Forms() bool {
	if c.Formation == nil || !c.Formation.FirstStart {
		return false
	}
	return slices.Contains(c.seedAddresses(), c.Listen)
}

// Waits reports whether the instance waits for a disk that refuses it.
func (c *Control) Waits() bool { return c.Formation != nil }

// Founders returns the first membership, which is the same at all seeds.
func (c *Control) Founders() []*wire.ControlMember {
	var members []*wire.ControlMember
	for _, address := range c.seedAddresses() {
		members = append(members, &wire.ControlMember{
			Id:      address,
			Address: address,
		})
	}
	return members
}

// Advertised returns where the other control instances reach this one.
func (c *Control) Advertised() string {
	for _, member := range c.Members {
		if member.ID == c.Instance {
			return member.Address
		}
	}
	return c.Listen
}

// Others returns where the settings say that control instances are.
func (c *Control) Others() []string {
	list := c.seedAddresses()
	for _, member := range c.Members {
		list = append(list, member.Address)
	}
	return list
}

// seedAddresses returns the seeds at the port that control instances use among themselves.
func (c *Control) seedAddresses() []string {
	if c.Formation == nil {
		return nil
	}
	return SameHosts(c.Formation.Seeds, c.Listen)
}

// SameHosts returns the hosts of addresses with the port of another one.
func SameHosts(addresses []string, port string) []string {
	_, number, _ := net.SplitHostPort(port)
	var list []string
	for _, address := range addresses {
		host, _, _ := net.SplitHostPort(address)
		list = append(list, net.JoinHostPort(host, number))
	}
	return list
}
