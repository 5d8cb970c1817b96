package controller

import (
	"sync"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// addresses is where the control instances are: by the journal's members, and before those are known by the settings.
type addresses struct {
	mutex  sync.Mutex
	listed map[string]string
	known  journaler.Members
}

func newAddresses(settings *checker.Control) *addresses {
	a := &addresses{
		listed: map[string]string{},
	}
	for _, member := range settings.Members {
		a.listed[member.ID] = member.Address
	}
	return a
}

// note takes the journal's members, where there are any yet.
func (a *addresses) note(members journaler.Members) {
	if len(members) == 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.known = members
}

// learn takes what another instance says, for one whose journal is still empty.
func (a *addresses) learn(members []*wire.ControlMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, member := range members {
		a.listed[member.GetId()] = member.GetAddress()
	}
}

// of returns the address of the instance, or "" where it is not known.
func (a *addresses) of(id string) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if member := a.known.Find(id); member != nil {
		return member.GetAddress()
	}
	return a.listed[id]
}

// all returns every address that is known.
func (a *addresses) all() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []string
	for _, member := range a.known {
		list = append(list, member.GetAddress())
	}
	for _, address := range a.listed {
		list = append(list, address)
	}
	return list
}
