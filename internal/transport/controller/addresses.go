package controller

import (
	"sync"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// addresses resolves the IDs of control instances to addresses. The journal's members take precedence over the fallback addresses.
type addresses struct {
	mutex sync.Mutex
	// fallback holds the addresses from the settings and from join responses, by instance ID.
	fallback map[string]string
	members  journaler.Members
}

func newAddresses(settings *checker.ControlSettings) *addresses {
	a := &addresses{
		fallback: map[string]string{},
	}
	for _, member := range settings.Members {
		a.fallback[member.ID] = member.Address
	}
	return a
}

// setMembers replaces the journal's members. An empty list, as of a new journal, is ignored.
func (a *addresses) setMembers(members journaler.Members) {
	if len(members) == 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.members = members
}

// currentMembers returns the journal's members.
func (a *addresses) currentMembers() journaler.Members {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.members
}

// addFallback adds the members that another instance returned, for an instance whose own journal is still empty.
func (a *addresses) addFallback(members []*wire.ControlMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, member := range members {
		a.fallback[member.GetId()] = member.GetAddress()
	}
}

// find returns the address of the instance, or "" if it is unknown.
func (a *addresses) find(id string) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if member := a.members.Find(id); member != nil {
		return member.GetAddress()
	}
	return a.fallback[id]
}

// all returns every known address; an address may occur more than once.
func (a *addresses) all() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []string
	for _, member := range a.members {
		list = append(list, member.GetAddress())
	}
	for _, address := range a.fallback {
		list = append(list, address)
	}
	return list
}
