package matcher

import (
	"crypto/sha256"
	"fmt"
)

// Organisation is one customer that sends requests under keys of its own.
type Organisation struct {
	Name string
	// Priority ranks the organisation's requests in place of the route's priority; nil leaves the route's.
	Priority *int
	// RatePerSecond and Burst are its allotment in requests over all instances; a rate of 0 means no limit.
	RatePerSecond float64
	Burst         float64
	// HomeRegions limits the regions of its requests in addition to those of the route; empty allows all.
	HomeRegions []string
}

// IsLimited reports whether the organisation has an allotment.
func (o *Organisation) IsLimited() bool { return o != nil && o.RatePerSecond > 0 }

// KeyHolder is an organisation with the keys that its callers send.
type KeyHolder struct {
	Organisation

	Keys []string
}

// keyDigest identifies a key. Keys themselves are not kept, so that none can get into a log or a message.
type keyDigest [sha256.Size]byte

// Keyring finds organisations by their keys.
type Keyring struct {
	byDigest map[keyDigest]*Organisation
	byName   map[string]*Organisation
}

// NewKeyring validates the organisations and indexes them by key; a validation error is an *InvalidError.
func NewKeyring(holders []KeyHolder) (*Keyring, error) {
	k := &Keyring{
		byDigest: map[keyDigest]*Organisation{},
		byName:   map[string]*Organisation{},
	}
	for i := range holders {
		if err := k.add(&holders[i]); err != nil {
			err.Field = fmt.Sprintf("organisations[%d].%s", i, err.Field)
			return nil, err
		}
	}
	return k, nil
}

func (k *Keyring) add(holder *KeyHolder) *InvalidError {
	organisation := holder.Organisation
	switch {
	case organisation.Name == "":
		return newInvalidError("name", "must not be empty")
	case k.byName[organisation.Name] != nil:
		return newInvalidError("name", fmt.Sprintf("%q names another organisation too", organisation.Name))
	case !(organisation.RatePerSecond >= 0):
		return newInvalidError("rate", "must not be below 0")
	case !(organisation.Burst >= 0):
		return newInvalidError("burst", "must not be below 0")
	}
	k.byName[organisation.Name] = &organisation
	for _, key := range holder.Keys {
		if key == "" {
			return newInvalidError("keys", "must not contain an empty key")
		}
		digest := digestOf(key)
		if other := k.byDigest[digest]; other != nil && other != &organisation {
			return newInvalidError("keys", fmt.Sprintf("shares a key with %q", other.Name))
		}
		k.byDigest[digest] = &organisation
	}
	return nil
}

func digestOf(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// FindByKey returns the organisation that holds the key, or nil. The time it takes depends on neither the number of keys nor how much of one the given key has in common with another.
func (k *Keyring) FindByKey(key string) *Organisation { return k.byDigest[digestOf(key)] }

// FindByName returns the organisation with the name, or nil.
func (k *Keyring) FindByName(name string) *Organisation { return k.byName[name] }

// Organisations returns all organisations, in no order.
func (k *Keyring) Organisations() []*Organisation {
	list := make([]*Organisation, 0, len(k.byName))
	for _, organisation := range k.byName {
		list = append(list, organisation)
	}
	return list
}
