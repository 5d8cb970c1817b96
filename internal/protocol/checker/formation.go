package checker

import (
	"net"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Formation configures how control instances discover each other.
type Formation struct {
	// Seeds are hosts of control instances as host:port; the port belongs to another interface and is ignored.
	Seeds []string `json:"seeds"`
	// FirstStart is set if the system starts for the first time, with empty disks.
	FirstStart bool `json:"first-start"`
	// ToleratedLosses is the number of control instances that may lose their disks at once. If it is 0 or left out, one may.
	ToleratedLosses int `json:"tolerated-losses,omitempty"`
}

// PlatformControl holds the addresses at which a control instance serves a platform.
type PlatformControl struct {
	Listen        string `json:"listen"`
	ListenMetrics string `json:"listen-metrics"`
}

// IsFounder reports whether the instance is a founder, a member of the initial membership formed from the seeds.
func (c *ControlSettings) IsFounder() bool {
	if c.Formation == nil || !c.Formation.FirstStart {
		return false
	}
	return slices.Contains(c.seedAddresses(), c.Listen)
}

// RetriesOpen reports whether the instance, if its data folder cannot be opened because of file system errors, retries instead of exiting.
func (c *ControlSettings) RetriesOpen() bool { return c.Formation != nil }

// FoundingMembers returns the initial membership formed from the seeds, which is the same at every seed.
func (c *ControlSettings) FoundingMembers() []*wire.ControlMember {
	var members []*wire.ControlMember
	for _, address := range c.seedAddresses() {
		members = append(members, &wire.ControlMember{
			Id:      address,
			Address: address,
		})
	}
	return members
}

// AdvertisedAddress returns the address at which the other control instances reach this one.
func (c *ControlSettings) AdvertisedAddress() string {
	for _, member := range c.Members {
		if member.ID == c.Instance {
			return member.Address
		}
	}
	return c.Listen
}

// ControlAddresses returns the addresses of control instances in the settings, which may include its own.
func (c *ControlSettings) ControlAddresses() []string {
	addresses := c.seedAddresses()
	for _, member := range c.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// seedAddresses returns the seed hosts with the port at which control instances serve each other.
func (c *ControlSettings) seedAddresses() []string {
	if c.Formation == nil {
		return nil
	}
	return ReplacePort(c.Formation.Seeds, c.Listen)
}

// ReplacePort returns the addresses with their port replaced by the one of portAddress.
func ReplacePort(addresses []string, portAddress string) []string {
	_, port, _ := net.SplitHostPort(portAddress)
	var replaced []string
	for _, address := range addresses {
		host, _, _ := net.SplitHostPort(address)
		replaced = append(replaced, net.JoinHostPort(host, port))
	}
	return replaced
}
