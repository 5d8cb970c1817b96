package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/allotter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// keeperTimeout is how long a keeper may take to respond. It is half of the shortest target latency, and covers a keeper that borrows.
	keeperTimeout = 25 * time.Millisecond
	// askLimit is how long after the first call no further backup is asked, so that a request with a target latency of 50 ms is refused within it while several of them hang.
	askLimit = 45 * time.Millisecond
	// lendTimeout is how long a keeper of another availability zone may take. A round trip between zones takes 2 ms.
	lendTimeout = 12 * time.Millisecond
	// allotmentInterval is the interval at which ranks are checked and reports are sent.
	allotmentInterval = 250 * time.Millisecond
	// unknownRetryAfter is the retry time of a request whose allotment is not known. A keeper that hangs is bypassed at once, and a new one grants after half a second.
	unknownRetryAfter = 300 * time.Millisecond
	// firstStartSpan is how long after the start of the process a first configuration may arrive for the deployment to count as started for the first time.
	firstStartSpan = time.Minute
	// assumedWork is the expected work of one attempt of a route that has not been used yet.
	assumedWork = 10 * time.Millisecond
)

var errNoKeeper = errors.New("this entry instance does not keep the organisation's allotment")

// AllotmentError says that a request was not charged to its organisation's allotment.
type AllotmentError struct {
	Organisation string
	Reason       scatterer.Reason
	RetryAfter   time.Duration
}

// Error returns the reason, the organisation and the retry time.
func (e *AllotmentError) Error() string {
	return fmt.Sprintf("%s: organisation %q may retry after %s", e.Reason, e.Organisation, e.RetryAfter)
}

// UseListener receives the recent and the long-term use of an organisation in this availability zone, in milliseconds of work per second.
type UseListener func(organisation string, usedPerSecond, usualPerSecond float64)

// allotments charges requests to the allotments of their organisations, and keeps those for which this instance is the keeper.
type allotments struct {
	forwarder *Forwarder
	startedAt time.Time
	meter     *allotmentMeter
	contact   *contactMonitor

	mutex  sync.Mutex
	roster *allotter.Roster
	keeper *allotter.Keeper
	holder *allotter.Holder
	table  *matcher.RoutingTable
	// zones is the number of availability zones between which allotments are divided.
	zones       int
	useListener UseListener

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newAllotments(f *Forwarder) *allotments {
	now := time.Now()
	roster := allotter.NewRoster(allotter.Member{
		Instance: f.settings.Instance,
		Zone:     f.settings.Zone,
		Address:  f.settings.ListenPeers,
	})
	a := &allotments{
		forwarder: f,
		startedAt: now,
		meter:     newAllotmentMeter(f.meter.reporter.Scope, f.log),
		roster:    roster,
		keeper:    allotter.NewKeeper(roster, now),
		holder:    allotter.NewHolder(),
		done:      make(chan struct{}),
	}
	if f.settings.ListenPeers == "" {
		// Other instances can't call this one, and control does not list it.
		roster.Update(now, nil)
	}
	a.contact = newContactMonitor(a)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// SetUseListener sets who receives the use of organisations, in the goroutines of requests.
func (f *Forwarder) SetUseListener(listener UseListener) {
	a := f.allotments
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.useListener = listener
}

func (a *allotments) run() {
	defer close(a.done)
	ticker := time.NewTicker(allotmentInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.tick()
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *allotments) close() {
	a.cancel()
	<-a.done
}

// tick does nothing while no organisation has an allotment.
func (a *allotments) tick() {
	if !a.hasLimits() {
		return
	}
	inContact := a.contact.check(a.ctx)
	now := time.Now()
	a.mutex.Lock()
	a.refresh(now)
	a.keeper.Tick(now, inContact)
	reports := a.holder.TakeReports(now)
	a.mutex.Unlock()
	a.sendReports(reports)
}

// hasLimits reports whether the configuration in force names organisations.
func (a *allotments) hasLimits() bool {
	table := a.forwarder.routingTable.Load()
	return table != nil && table.Keyring != nil
}

// update applies the list of entry instances.
func (a *allotments) update(entries []*wire.EntryInstance) {
	members := make([]allotter.Member, 0, len(entries))
	for _, entry := range entries {
		members = append(members, allotter.Member{
			Instance: entry.GetInstance(),
			Zone:     entry.GetZone(),
			Address:  entry.GetAddress(),
		})
	}
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.roster.Update(now, members)
	a.refresh(now)
	a.keeper.Tick(now, true)
}

// refresh applies the configuration in force; the mutex must be held. It waits for the list of instances, without which this instance would take itself for the keeper of every organisation.
func (a *allotments) refresh(now time.Time) {
	table := a.forwarder.routingTable.Load()
	if table == nil || !a.roster.IsKnown() {
		return
	}
	// Without a setting, a zone that was seen once keeps its share, as its instances may only be cut off.
	zones := max(a.zones, a.roster.Zones())
	if declared := len(a.forwarder.currentSettings().ZoneRegions); declared > 0 {
		zones = declared
	}
	if table == a.table && zones == a.zones {
		return
	}
	a.table, a.zones = table, zones
	var limits []allotter.Limit
	known := map[string]bool{}
	if table.Keyring != nil {
		for _, o := range table.Keyring.Organisations() {
			known[o.Name] = true
			limits = append(limits, allotter.Limit{
				Organisation: o.Name,
				Rate:         o.RatePerSecond,
				Burst:        o.Burst,
			})
		}
	}
	a.keeper.Configure(now, limits, a.terms(now))
	a.holder.Retain(func(organisation string) bool { return known[organisation] })
	a.meter.retain(known)
}

// reconfigure applies changed settings at the next occasion.
func (a *allotments) reconfigure() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.table = nil
}

func (a *allotments) terms(now time.Time) allotter.Terms {
	settings := a.forwarder.currentSettings()
	return allotter.Terms{
		Window:     time.Duration(settings.AllotmentWindowMs) * time.Millisecond,
		Overage:    settings.AllotmentOverage,
		Tolerance:  settings.AllotmentTolerance,
		Zones:      a.zones,
		FirstStart: settings.FirstStart && now.Sub(a.startedAt) < firstStartSpan,
	}
}

// charge takes a token for the request before anything of it is sent. The error is an *AllotmentError.
func (a *allotments) charge(ctx context.Context, request *scatterer.Request) error {
	o := request.Organisation
	if o == nil {
		return nil
	}
	cost := a.costOf(request)
	now := time.Now()
	a.mutex.Lock()
	a.refresh(now)
	if !o.IsLimited() || a.holder.Take(now, o.Name) {
		a.holder.AddUse(now, o.Name, cost)
		a.mutex.Unlock()
		a.meter.record(now, o.Name, resultAdmitted)
		return nil
	}
	pending := a.holder.TakeUse(o.Name)
	item := &wire.AllotItem{
		Organisation: o.Name,
		Tokens:       a.holder.Wanted(now, o.Name),
		Used:         pending + cost,
	}
	a.mutex.Unlock()
	grant := a.ask(ctx, item)
	if err := a.accept(o.Name, grant, pending); err != nil {
		a.meter.record(now, o.Name, resultOf(err.Reason))
		return err
	}
	a.meter.record(now, o.Name, resultAdmitted)
	return nil
}

// accept adds the granted tokens, or returns why there are none. Use that was not counted is reported later. The grant is nil if no keeper has responded.
func (a *allotments) accept(organisation string, grant *wire.AllotGrant, pending float64) *AllotmentError {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if grant.GetTokens() > 0 && a.holder.Accept(now, organisation, grant.GetTokens(), time.Duration(grant.GetLifetimeMs())*time.Millisecond) {
		return nil
	}
	a.holder.AddUse(now, organisation, pending)
	refusal := &AllotmentError{
		Organisation: organisation,
		Reason:       scatterer.ReasonOverAllotment,
		RetryAfter:   time.Duration(grant.GetRetryAfterUs()) * time.Microsecond,
	}
	if refusal.RetryAfter == 0 {
		refusal.Reason = scatterer.ReasonAllotmentUnknown
		refusal.RetryAfter = unknownRetryAfter
	}
	return refusal
}

// refund gives back the token of a request that has not run.
func (a *allotments) refund(o *matcher.Organisation) {
	if !o.IsLimited() {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.holder.Return(o.Name)
}

// costOf returns the expected work of the request in milliseconds.
func (a *allotments) costOf(request *scatterer.Request) float64 {
	f := a.forwarder
	f.mutex.Lock()
	latency := f.balancer.MedianLatency(request.Route.Name)
	f.mutex.Unlock()
	if latency == 0 {
		latency = assumedWork
	}
	return milliseconds(latency) * float64(max(1, len(request.Route.Shards)))
}

// ask asks the keeper of the own zone for tokens, and its backups in turn if it does not respond or can't know whether there are any. It returns nil if none responds.
func (a *allotments) ask(ctx context.Context, item *wire.AllotItem) *wire.AllotGrant {
	var unknown *wire.AllotGrant
	startedAt := time.Now()
	for tried := 0; ; {
		a.mutex.Lock()
		keeper, rank, found := a.roster.Keeper(time.Now(), a.forwarder.zone, item.GetOrganisation(), tried)
		a.mutex.Unlock()
		if !found || ctx.Err() != nil || time.Since(startedAt) > askLimit {
			return unknown
		}
		tried = rank + 1
		grant := a.askKeeper(ctx, keeper, item)
		if grant == nil {
			continue
		}
		a.tellUse(item.GetOrganisation(), grant)
		if grant.GetTokens() > 0 || grant.GetRetryAfterUs() > 0 {
			return grant
		}
		unknown = grant
	}
}

// askKeeper returns the answer of one instance, or nil if it has none.
func (a *allotments) askKeeper(ctx context.Context, keeper allotter.Member, item *wire.AllotItem) *wire.AllotGrant {
	if keeper.Instance == a.forwarder.settings.Instance {
		return a.grant(ctx, item)
	}
	response, err := a.call(ctx, keeper, []*wire.AllotItem{item})
	if err != nil || len(response.GetGrants()) != 1 {
		return nil
	}
	return response.GetGrants()[0]
}

// call sends items to a keeper and records whether it responds.
func (a *allotments) call(ctx context.Context, keeper allotter.Member, items []*wire.AllotItem) (*wire.AllotResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	response, err := a.forwarder.peers.relayClient(keeper.Address).Allot(callCtx, connect.NewRequest(&wire.AllotRequest{
		Instance: a.forwarder.settings.Instance,
		Version:  a.version(),
		Items:    items,
	}))
	a.recordCall(ctx, keeper, err)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (a *allotments) version() uint64 {
	if table := a.forwarder.routingTable.Load(); table != nil {
		return table.Version
	}
	return 0
}

// recordCall updates the state of an instance after a call. A caller that has disconnected says nothing about it, and neither does an instance that is not the keeper in its own view.
func (a *allotments) recordCall(ctx context.Context, keeper allotter.Member, err error) {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case err == nil:
		a.roster.RecordAnswer(keeper.Instance)
	case ctx.Err() != nil, connect.CodeOf(err) == connect.CodeFailedPrecondition:
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		if a.roster.RecordAbsence(now, keeper.Instance) {
			a.forwarder.log.Info("peer does not keep allotments", "peer", keeper.Instance)
		}
	default:
		a.roster.RecordFailure(now, keeper.Instance)
		a.forwarder.log.Info("allotment keeper bypassed", "peer", keeper.Instance, "peer-zone", keeper.Zone, "cause", err.Error())
	}
}

// tellUse passes on the use that a keeper has reported.
func (a *allotments) tellUse(organisation string, grant *wire.AllotGrant) {
	a.mutex.Lock()
	listener := a.useListener
	a.mutex.Unlock()
	if listener != nil {
		listener(organisation, grant.GetUsedPerSecond(), grant.GetUsualPerSecond())
	}
}

// sendReports sends use and returned tokens that no other call carries, in one call for each keeper. What is lost on the way is not sent again, since a token must not be returned twice.
func (a *allotments) sendReports(reports []allotter.Report) {
	items := map[allotter.Member][]*wire.AllotItem{}
	now := time.Now()
	a.mutex.Lock()
	for _, report := range reports {
		if keeper, _, found := a.roster.Keeper(now, a.forwarder.zone, report.Organisation, 0); found {
			items[keeper] = append(items[keeper], &wire.AllotItem{
				Organisation: report.Organisation,
				Tokens:       -report.Returned,
				Used:         report.Used,
			})
		}
	}
	a.mutex.Unlock()
	for keeper, list := range items {
		go (&reportCall{
			allotments: a,
			keeper:     keeper,
			items:      list,
		}).run()
	}
}

// reportCall reports use and returned tokens to one keeper.
type reportCall struct {
	allotments *allotments
	keeper     allotter.Member
	items      []*wire.AllotItem
}

func (r *reportCall) run() {
	a := r.allotments
	if r.keeper.Instance == a.forwarder.settings.Instance {
		for _, item := range r.items {
			a.tellUse(item.GetOrganisation(), a.grant(a.ctx, item))
		}
		return
	}
	response, err := a.call(a.ctx, r.keeper, r.items)
	if err != nil || len(response.GetGrants()) != len(r.items) {
		return
	}
	for i, grant := range response.GetGrants() {
		a.tellUse(r.items[i].GetOrganisation(), grant)
	}
}
