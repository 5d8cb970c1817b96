package registrar

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/pkg/wire"
)

// bucketCount is how many digests a repair compares; an upstream's bucket follows from its name.
const bucketCount = 256

// bucket is a part of the table with the digest of what it holds.
type bucket struct {
	digest  uint64
	records map[string]*record
}

// Digests returns one digest a bucket; tables that hold the same announcements have the same, whatever their leases.
func (r *Registrar) Digests() []uint64 {
	digests := make([]uint64, bucketCount)
	for i := range r.buckets {
		digests[i] = r.buckets[i].digest
	}
	return digests
}

// Repair returns at most limit announcements of the buckets that differ from a peer's, beginning at the bucket first.
func (r *Registrar) Repair(now time.Time, digests []uint64, first, limit int) []*wire.Announcement {
	if len(digests) != bucketCount {
		return nil
	}
	var list []*wire.Announcement
	for i := range bucketCount {
		at := (first + i) % bucketCount
		if r.buckets[at].digest == digests[at] {
			continue
		}
		for _, known := range r.buckets[at].records {
			if len(list) == limit {
				return list
			}
			list = append(list, known.export(now))
		}
	}
	return list
}

// mix adds a record to its bucket's digest.
func (r *Registrar) mix(known *record) {
	if !known.isTold() {
		return
	}
	b := r.bucketOf(known)
	if b.records == nil {
		b.records = map[string]*record{}
	}
	b.records[known.announcement.GetUpstream()] = known
	b.digest ^= known.digest()
}

func (r *Registrar) unmix(known *record) {
	if !known.isTold() {
		return
	}
	b := r.bucketOf(known)
	delete(b.records, known.announcement.GetUpstream())
	b.digest ^= known.digest()
}

func (r *Registrar) bucketOf(known *record) *bucket {
	return &r.buckets[xxhash.Sum64String(known.announcement.GetUpstream())%bucketCount]
}

func (k *record) digest() uint64 {
	var encoded [17]byte
	binary.LittleEndian.PutUint64(encoded[0:], k.announcement.GetIncarnation())
	binary.LittleEndian.PutUint64(encoded[8:], k.content)
	if k.leaving {
		encoded[16] = 1
	}
	return xxhash.Sum64(encoded[:])
}
