package forwarder

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/allotter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// allotInstances is the number of entry instances, half of them in each of two zones.
	allotInstances = 10
	allotBurst     = 40
	allotTolerance = 20
	// maxCharge is the longest time of a charge beyond the timeouts of the instances that are asked in vain, on a busy machine.
	maxCharge = 24 * time.Millisecond
)

// allotFixture is a fleet with an organisation that may send allotBurst requests.
type allotFixture struct {
	t            *testing.T
	instances    []*Forwarder
	entries      []*wire.EntryInstance
	organisation *matcher.Organisation
}

func newAllotFixture(t *testing.T) *allotFixture {
	t.Helper()
	af := &allotFixture{
		t: t,
	}
	table := &matcher.RoutingTable{
		Version: 1,
	}
	var err error
	table.Keyring, err = matcher.NewKeyring([]matcher.KeyHolder{{
		Organisation: matcher.Organisation{
			Name:          "limited",
			RatePerSecond: 0.1,
			Burst:         allotBurst,
		},
		Keys: []string{"key"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	af.organisation = table.Keyring.FindByKey("key")
	for i := range allotInstances {
		f := newTestForwarder(t, fmt.Sprintf("entry-%d", i), []string{"a", "b"}[i%2])
		settings := *f.settings
		settings.ZoneRegions = map[string]string{
			"a": "one",
			"b": "one",
		}
		settings.FirstStart = true
		settings.AllotmentWindowMs = 5000
		settings.AllotmentTolerance = allotTolerance
		f.Reload(&settings)
		f.routingTable.Store(table)
		af.instances = append(af.instances, f)
		af.entries = append(af.entries, &wire.EntryInstance{
			Instance: f.settings.Instance,
			Zone:     f.zone,
			Address:  f.peers.server.Address(),
		})
	}
	af.update()
	return af
}

// update tells all instances of all others.
func (af *allotFixture) update() {
	for _, f := range af.instances {
		f.allotments.update(af.entries)
	}
}

// keeper returns the index of the instance of zone a that ranks at the place.
func (af *allotFixture) keeper(place int) int {
	a := af.instances[0].allotments
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m, _, _ := a.roster.Keeper(time.Now(), "a", af.organisation.Name, place)
	for i, entry := range af.entries {
		if entry.GetInstance() == m.Instance {
			return i
		}
	}
	af.t.Fatal("no keeper")
	return 0
}

// asker returns an instance of zone a that is neither the keeper nor a backup.
func (af *allotFixture) asker() *Forwarder {
	for i := 0; i < allotInstances; i += 2 {
		if i != af.keeper(0) && i != af.keeper(1) && i != af.keeper(2) {
			return af.instances[i]
		}
	}
	af.t.Fatal("no such instance")
	return nil
}

func (af *allotFixture) charge(f *Forwarder) (time.Duration, *AllotmentError) {
	request := &scatterer.Request{
		Route:        &matcher.Route{},
		Organisation: af.organisation,
	}
	startedAt := time.Now()
	var refusal *AllotmentError
	errors.As(f.allotments.charge(af.t.Context(), request), &refusal)
	return time.Since(startedAt), refusal
}

// TestAllotmentOfFleet guards against requests beyond the allotment through many instances, against tokens of another zone that can't be used, and against a charge that takes long.
func TestAllotmentOfFleet(t *testing.T) {
	cases := map[string]func(af *allotFixture) []*Forwarder{
		"at one instance":  func(af *allotFixture) []*Forwarder { return []*Forwarder{af.asker()} },
		"at the keeper":    func(af *allotFixture) []*Forwarder { return []*Forwarder{af.instances[af.keeper(0)]} },
		"at all instances": func(af *allotFixture) []*Forwarder { return af.instances },
		"at those of a zone": func(af *allotFixture) []*Forwarder {
			return []*Forwarder{af.instances[0], af.instances[2], af.instances[4], af.instances[6], af.instances[8]}
		},
	}
	for name, choose := range cases {
		t.Run(name, func(t *testing.T) {
			af := newAllotFixture(t)
			chosen := choose(af)
			admitted := 0
			var total time.Duration
			for i := range 2 * allotBurst {
				took, refusal := af.charge(chosen[i%len(chosen)])
				total += took
				switch {
				case refusal == nil:
					admitted++
				case refusal.Reason != scatterer.ReasonOverAllotment || refusal.RetryAfter <= 0:
					t.Errorf("refused with %v", refusal)
				}
			}
			if admitted < allotBurst || admitted > allotBurst+allotTolerance {
				t.Errorf("%d requests admitted, want %d to %d", admitted, allotBurst, allotBurst+allotTolerance)
			}
			if mean := total / (2 * allotBurst); mean > maxCharge {
				t.Errorf("a charge took %s", mean)
			}
		})
	}
}

// TestKeeperFails guards against requests that are refused, or that wait more than once, because the keeper has ended, hangs or runs a build without allotments.
func TestKeeperFails(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewRelayServiceHandler(wireconnect.UnimplementedRelayServiceHandler{}))
	older := httptest.NewServer(mux)
	defer older.Close()
	cases := []struct {
		name    string
		failing int
		address string
		want    scatterer.Reason
		// isAbsent is set if the keeper loses its rank for longer than a bypass.
		isAbsent bool
	}{
		{"ended", 1, "127.0.0.1:1", scatterer.ReasonNone, false},
		{"hangs", 1, hanging.Addr().String(), scatterer.ReasonNone, false},
		{"build of the last release", 1, older.URL[len("http://"):], scatterer.ReasonNone, true},
		{"keeper and backups hang", 3, hanging.Addr().String(), scatterer.ReasonAllotmentUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			af := newAllotFixture(t)
			asker := af.asker()
			var failing []int
			for place := range c.failing {
				failing = append(failing, af.keeper(place))
			}
			for _, i := range failing {
				af.entries[i].Address = c.address
			}
			af.update()
			af.requireCharge(asker, c.want, min(c.failing, 2))
			af.requireCharge(asker, c.want, max(c.failing-2, 0))
			af.requireCharge(asker, c.want, 0)
			asker.allotments.mutex.Lock()
			defer asker.allotments.mutex.Unlock()
			next, _, _ := asker.allotments.roster.Keeper(time.Now().Add(2*time.Second), "a", af.organisation.Name, 0)
			if isAbsent := next.Instance != af.entries[failing[0]].GetInstance(); isAbsent != c.isAbsent {
				t.Errorf("the keeper has lost its rank: %v, want %v", isAbsent, c.isAbsent)
			}
		})
	}
}

// requireCharge checks the outcome of a charge during which the given number of instances are asked in vain.
func (af *allotFixture) requireCharge(f *Forwarder, want scatterer.Reason, inVain int) {
	af.t.Helper()
	took, refusal := af.charge(f)
	got := scatterer.ReasonNone
	if refusal != nil {
		got = refusal.Reason
		if refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second {
			af.t.Errorf("retry time %s", refusal.RetryAfter)
		}
	}
	if got != want || took > time.Duration(inVain)*keeperTimeout+maxCharge {
		af.t.Errorf("charge: %v after %s, want %q while %d instances are asked in vain", refusal, took, want, inVain)
	}
}

// TestDivertedRequestIsChargedOnce guards against a second charge by the peer that answers a request.
func TestDivertedRequestIsChargedOnce(t *testing.T) {
	sf := newStrandedFixture(t)
	keyring, err := matcher.NewKeyring([]matcher.KeyHolder{{
		Organisation: matcher.Organisation{
			Name:          "limited",
			RatePerSecond: 10,
			Burst:         100,
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sf.instances {
		f.RoutingTable().Keyring = keyring
		f.allotments.reconfigure()
	}
	time.Sleep(2 * time.Second)
	sf.cut(0, cutHang)
	f := sf.instances[0]
	f.isolation.recordProbes(false)
	table := f.RoutingTable()
	answer := f.Serve(t.Context(), &exchanger.Call{
		ID:     "1",
		Method: http.MethodPost,
		Host:   "a.example",
		Path:   "/once/1",
		Caller: "limited",
		Header: http.Header{},
	}, scatterer.Request{
		ID:           "1",
		Route:        &table.Routes[routeOnce],
		ArrivedAt:    time.Now(),
		Organisation: keyring.FindByName("limited"),
	}, table.Version)
	if answer.Decision.Kind != scatterer.Relayed || answer.request != nil {
		t.Fatalf("the request was not diverted: %+v", answer.Decision)
	}
	charges := int64(0)
	for _, f := range sf.instances {
		m := f.allotments.meter
		m.mutex.Lock()
		if o := m.organisations["limited"]; o != nil {
			charges += o.count
		}
		m.mutex.Unlock()
	}
	if charges != 1 {
		t.Errorf("%d charges", charges)
	}
}

// TestMeteredOrganisationsAreBounded guards against metrics without a bound on organisations, and against a much used one without its own.
func TestMeteredOrganisationsAreBounded(t *testing.T) {
	f := newTestForwarder(t, "entry", "a")
	m := f.allotments.meter
	now := time.Now()
	for organisation := range 1000 {
		for range 1 + organisation/900*10 {
			m.record(now, fmt.Sprint(organisation), resultAdmitted)
		}
	}
	if limit := meteredOrganisations + maxMeterChanges + 1; len(m.counters) > limit {
		t.Errorf("%d metrics, want at most %d", len(m.counters), limit)
	}
	if !m.organisations["900"].isMetered || m.organisations["10"].isMetered {
		t.Error("the organisations with the most use have no metrics of their own")
	}
}

// BenchmarkChargeByCall measures a charge that calls the keeper, both ends together.
func BenchmarkChargeByCall(b *testing.B) {
	near, far := newTestForwarder(b, "near", "a"), newTestForwarder(b, "far", "a")
	item := &wire.AllotItem{
		Organisation: "o",
		Tokens:       1,
	}
	keeper := allotter.Member{
		Instance: "far",
		Address:  far.peers.server.Address(),
	}
	timeouts := 0
	b.ReportAllocs()
	for b.Loop() {
		if _, err := near.allotments.call(b.Context(), keeper, []*wire.AllotItem{item}); err != nil {
			timeouts++
		}
	}
	b.ReportMetric(float64(timeouts), "timeouts")
}

// TestUseIsReported guards against use that does not reach the keeper, or that is not passed on, of organisations with an allotment and of those without.
func TestUseIsReported(t *testing.T) {
	af := newAllotFixture(t)
	unlimited := *af.organisation
	unlimited.RatePerSecond = 0
	for name, organisation := range map[string]*matcher.Organisation{
		"limited":   af.organisation,
		"unlimited": &unlimited,
	} {
		t.Run(name, func(t *testing.T) {
			af.organisation = organisation
			f := af.asker()
			told := make(chan float64, 1000)
			f.SetUseListener(func(_ string, usedPerSecond, _ float64) { told <- usedPerSecond })
			for end := time.After(5 * time.Second); ; {
				af.charge(f)
				select {
				case used := <-told:
					if used > 0 {
						return
					}
				case <-end:
					t.Fatal("no use was told")
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
}
