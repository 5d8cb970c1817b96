package registrar

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// directReach is how many instances one round of the spreader reaches; where there are more, those told pass news on.
const directReach = 8

// news is the upstreams of which peers are to be told, oldest first and each once.
type news struct {
	queue []string
	items map[string]item
	full  int
	reach int
}

// item says whether the whole announcement is news or only its renewal.
type item struct {
	full bool
}

func newNews() *news {
	return &news{
		items: map[string]item{},
	}
}

func (n *news) add(upstream string, full, direct bool) {
	if !direct && !full && n.reach <= directReach {
		return
	}
	known, ok := n.items[upstream]
	if !ok {
		n.queue = append(n.queue, upstream)
	}
	if full && !known.full {
		n.full++
	}
	n.items[upstream] = item{
		full: full || known.full,
	}
}

// HasChanges reports whether there is news other than renewals, which can wait for the next heartbeat.
func (r *Registrar) HasChanges() bool { return r.news.full > 0 }

// SetReach tells how many other entry instances there are.
func (r *Registrar) SetReach(members int) { r.news.reach = members }

// Batch returns at most limit pieces of news to tell peers, and forgets them.
func (r *Registrar) Batch(now time.Time, limit int) ([]*wire.Announcement, []*wire.Renewal) {
	var announcements []*wire.Announcement
	var renewals []*wire.Renewal
	count := min(limit, len(r.news.queue))
	for _, name := range r.news.queue[:count] {
		told := r.news.items[name]
		delete(r.news.items, name)
		if told.full {
			r.news.full--
		}
		known, ok := r.records[name]
		switch {
		case !ok || !known.isTold():
		case told.full:
			announcements = append(announcements, known.export(now))
		default:
			renewals = append(renewals, known.exportRenewal(now))
		}
	}
	r.news.queue = append(r.news.queue[:0:0], r.news.queue[count:]...)
	return announcements, renewals
}
