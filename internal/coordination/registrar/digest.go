package registrar

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/pkg/wire"
)

// bucketCount is the number of digests that a repair compares. The bucket of an upstream is chosen by the hash of its name.
const bucketCount = 256

// bucket is a part of the table, with the XOR of the digests of its records.
type bucket struct {
	digest  uint64
	records map[string]*record
}

// Digests returns one digest per bucket. Tables with the same announcements have the same digests, regardless of their leases.
func (r *Registrar) Digests() []uint64 {
	digests := make([]uint64, bucketCount)
	for i := range r.buckets {
		digests[i] = r.buckets[i].digest
	}
	return digests
}

// Repair returns at most limit announcements from the buckets whose digest differs from the peer's, starting at firstBucket.
func (r *Registrar) Repair(now time.Time, digests []uint64, firstBucket, limit int) []*wire.Announcement {
	if len(digests) != bucketCount {
		return nil
	}
	var announcements []*wire.Announcement
	for i := range bucketCount {
		bucketIndex := (firstBucket + i) % bucketCount
		if r.buckets[bucketIndex].digest == digests[bucketIndex] {
			continue
		}
		for _, rec := range r.buckets[bucketIndex].records {
			if len(announcements) == limit {
				return announcements
			}
			announcements = append(announcements, rec.exportAnnouncement(now))
		}
	}
	return announcements
}

// addToBucket adds a record to its bucket and to the bucket's digest, unless it is not shared with peers.
func (r *Registrar) addToBucket(rec *record) {
	if !rec.isShared() {
		return
	}
	b := r.bucketOf(rec)
	if b.records == nil {
		b.records = map[string]*record{}
	}
	b.records[rec.announcement.GetUpstream()] = rec
	b.digest ^= rec.digest()
}

func (r *Registrar) removeFromBucket(rec *record) {
	if !rec.isShared() {
		return
	}
	b := r.bucketOf(rec)
	delete(b.records, rec.announcement.GetUpstream())
	b.digest ^= rec.digest()
}

func (r *Registrar) bucketOf(rec *record) *bucket {
	return &r.buckets[xxhash.Sum64String(rec.announcement.GetUpstream())%bucketCount]
}

func (r *record) digest() uint64 {
	var encoded [17]byte
	binary.LittleEndian.PutUint64(encoded[0:], r.announcement.GetIncarnation())
	binary.LittleEndian.PutUint64(encoded[8:], r.contentDigest)
	if r.leaving {
		encoded[16] = 1
	}
	return xxhash.Sum64(encoded[:])
}
