package forwarder

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

const (
	// meteredOrganisations is how many organisations have metrics of their own: those with the most use. The others share one.
	meteredOrganisations = 50
	// maxMeterChanges is how many organisations may take the place of others during the life of the process. The metrics that they leave can't be removed.
	maxMeterChanges = 50
	// otherOrganisations is the label of all others.
	otherOrganisations = "others"
	// overageLogInterval is the interval at which an organisation's refusals are logged.
	overageLogInterval = 10 * time.Second
)

// allotmentResult says what became of a charge.
type allotmentResult string

const (
	resultAdmitted allotmentResult = "admitted"
	resultOver     allotmentResult = "over-allotment"
	resultUnknown  allotmentResult = "allotment-unknown"
)

func resultOf(reason scatterer.Reason) allotmentResult {
	if reason == scatterer.ReasonOverAllotment {
		return resultOver
	}
	return resultUnknown
}

type allotmentKey struct {
	label  string
	result allotmentResult
}

// organisationMeter is what is known of one organisation.
type organisationMeter struct {
	count     int64
	isMetered bool
	// refused is the number of refusals since loggedAt.
	refused  int64
	loggedAt time.Time
}

// allotmentMeter counts charges by organisation, and logs refusals at a bounded rate.
type allotmentMeter struct {
	scope tally.Scope
	log   logr.Logger

	mutex         sync.Mutex
	organisations map[string]*organisationMeter
	counters      map[allotmentKey]tally.Counter
	metered       int
	changes       int
}

func newAllotmentMeter(scope tally.Scope, log logr.Logger) *allotmentMeter {
	return &allotmentMeter{
		scope:         scope,
		log:           log,
		organisations: map[string]*organisationMeter{},
		counters:      map[allotmentKey]tally.Counter{},
	}
}

// record counts a charge of an organisation of the configuration.
func (m *allotmentMeter) record(now time.Time, organisation string, result allotmentResult) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	o, ok := m.organisations[organisation]
	if !ok {
		o = &organisationMeter{}
		m.organisations[organisation] = o
	}
	o.count++
	m.updateMetered(o)
	label := otherOrganisations
	if o.isMetered {
		label = organisation
	}
	m.counter(allotmentKey{
		label:  label,
		result: result,
	}).Inc(1)
	if result == resultAdmitted {
		return
	}
	o.refused++
	if now.Sub(o.loggedAt) >= overageLogInterval {
		m.log.Info("organisation refused", "organisation", organisation, "reason", string(result), "refused", o.refused)
		o.refused, o.loggedAt = 0, now
	}
}

// retain forgets all organisations that are not known.
func (m *allotmentMeter) retain(known map[string]bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for organisation, o := range m.organisations {
		if known[organisation] {
			continue
		}
		if o.isMetered {
			m.metered--
			m.changes++
		}
		delete(m.organisations, organisation)
	}
}

// updateMetered gives the organisation metrics of its own while there is room, or if it has twice the use of the least used one that has them.
func (m *allotmentMeter) updateMetered(o *organisationMeter) {
	if o.isMetered {
		return
	}
	if m.metered < meteredOrganisations && m.changes < maxMeterChanges {
		o.isMetered = true
		m.metered++
		return
	}
	if m.changes >= maxMeterChanges {
		return
	}
	var least *organisationMeter
	for _, other := range m.organisations {
		if other.isMetered && (least == nil || other.count < least.count) {
			least = other
		}
	}
	if o.count > 2*least.count {
		least.isMetered, o.isMetered = false, true
		m.changes++
	}
}

func (m *allotmentMeter) counter(key allotmentKey) tally.Counter {
	counter, ok := m.counters[key]
	if !ok {
		counter = m.scope.Tagged(map[string]string{
			"organisation": key.label,
			"result":       string(key.result),
		}).Counter("allotment_requests")
		m.counters[key] = counter
	}
	return counter
}
