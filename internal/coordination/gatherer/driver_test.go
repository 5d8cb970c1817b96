package gatherer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/internal/coordination/versioner"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	driverService = "tenants"
	driverLimit   = 100
	driverSlots   = 2
)

// failer is what both testing.T and rapid.T offer.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// driver drives one machine by hand: it holds what was sent and what was answered.
type driver struct {
	t         failer
	machine   *Machine
	now       time.Time
	manifests map[uint64]*wire.Manifest
	holdings  map[string][]*wire.Holding
	sequence  uint64
	zone      string
	nextQuery uint64
	sends     []Send
	cancelled map[uint64]bool
	// running is the upstream of each attempt that holds a slot.
	running map[uint64]string
	answers map[uint64]Answer
}

// TestMain fixes the seed of the random orders, which a failure prints; -rapid.seed asks for another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20")
	}
	m.Run()
}

func newDriver(t failer, policy router.Policy) *driver {
	d := &driver{
		t:         t,
		machine:   New(registrar.New(), router.New(policy, rand.New(rand.NewPCG(1, 2))), 0),
		now:       time.Unix(1_000_000, 0),
		zone:      "zone-a",
		manifests: map[uint64]*wire.Manifest{},
		holdings:  map[string][]*wire.Holding{},
		cancelled: map[uint64]bool{},
		running:   map[uint64]string{},
		answers:   map[uint64]Answer{},
	}
	config := &wire.Config{
		Revision: 1,
		Services: []*wire.Service{
			{
				Name: driverService,
			},
		},
	}
	for i := range 20 {
		config.Services[0].Shards = append(config.Services[0].Shards, driverShard(i))
	}
	d.machine.Configure(d.now, config)
	// A working instance has earned its budget; these tests are not about it.
	for range 2000 {
		d.machine.Budget.Deposit()
	}
	return d
}

func driverShard(i int) string { return fmt.Sprintf("s%02d", i) }

// version sets the shards of a version, s00 onwards, by weight.
func (d *driver) version(version uint64, weights ...uint64) {
	manifest := &wire.Manifest{
		Service: driverService,
		Version: version,
	}
	for i, weight := range weights {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  driverShard(i),
			Weight: weight,
		})
	}
	d.manifests[version] = manifest
}

// hold announces that the upstream holds these shards of the version, besides what it holds already.
func (d *driver) hold(upstream string, version uint64, shards ...int) {
	for _, i := range shards {
		d.holdings[upstream] = append(d.holdings[upstream], &wire.Holding{
			Service: driverService,
			Version: version,
			Shard:   driverShard(i),
		})
	}
	d.announce(upstream, false)
}

// withdraw announces that the upstream no longer holds the version.
func (d *driver) withdraw(upstream string, version uint64) {
	d.holdings[upstream] = slices.DeleteFunc(d.holdings[upstream], func(h *wire.Holding) bool { return h.GetVersion() == version })
	d.announce(upstream, false)
}

func (d *driver) announce(upstream string, leaving bool) {
	d.t.Helper()
	d.sequence++
	ann := &wire.Announcement{
		Upstream:    upstream,
		Address:     upstream + ":1",
		Zone:        d.zone,
		Incarnation: 1,
		Sequence:    d.sequence,
		Slots:       driverSlots,
		Connections: 25,
		LeaseMs:     60_000,
		Leaving:     leaving,
		Holdings:    d.holdings[upstream],
	}
	for _, h := range d.holdings[upstream] {
		if !slices.Contains(ann.Manifests, d.manifests[h.GetVersion()]) {
			ann.Manifests = append(ann.Manifests, d.manifests[h.GetVersion()])
		}
	}
	if _, err := d.machine.Registrar.Announce(d.now, ann); err != nil {
		d.t.Fatalf("announce: %v", err)
	}
}

// ask starts a query that wants everything, and returns its id.
func (d *driver) ask(text string, timeout time.Duration) uint64 {
	d.nextQuery++
	d.machine.Start(d.now, Query{
		ID:       d.nextQuery,
		Service:  driverService,
		Text:     text,
		Limit:    driverLimit,
		Required: wire.CoverageWhole,
		Arrived:  d.now,
		Deadline: d.now.Add(timeout),
	})
	d.collect()
	return d.nextQuery
}

func (d *driver) tick(passed time.Duration) {
	d.now = d.now.Add(passed)
	d.machine.Tick(d.now)
	d.collect()
}

func (d *driver) collect() {
	d.t.Helper()
	actions := d.machine.Take()
	for _, id := range actions.Cancels {
		d.cancelled[id] = true
		delete(d.running, id)
	}
	for _, send := range actions.Sends {
		d.running[send.Request.GetAttempt()] = send.Upstream
	}
	d.sends = append(d.sends, actions.Sends...)
	d.checkSlots()
	for _, answer := range actions.Answers {
		if _, twice := d.answers[answer.Query.ID]; twice {
			d.t.Fatalf("query %d answered twice", answer.Query.ID)
		}
		d.answers[answer.Query.ID] = answer
		d.check(answer)
	}
}

// checkSlots fails the test where an owner has more in flight than the slots and the one on its way.
func (d *driver) checkSlots() {
	d.t.Helper()
	if d.machine.Router.Policy() != router.Owner {
		return
	}
	count := map[string]int{}
	for _, upstream := range d.running {
		count[upstream]++
		if count[upstream] > driverSlots+1 {
			d.t.Fatalf("%d in flight at %s", count[upstream], upstream)
		}
	}
}

// take removes and returns the first send that fits, or fails the test.
func (d *driver) take(shard int) Send {
	d.t.Helper()
	for i, send := range d.sends {
		if send.Request.GetShard() == driverShard(shard) {
			d.sends = slices.Delete(d.sends, i, i+1)
			return send
		}
	}
	d.t.Fatalf("nothing sent for shard %d: %v", shard, d.sends)
	return Send{}
}

func goodReply(send Send) *wire.SearchResponse {
	rows := driverRows(send.Request.GetVersion(), send.Request.GetShard(), send.Request.GetQuery())
	return &wire.SearchResponse{
		Attempt:  send.Request.GetAttempt(),
		Shard:    send.Request.GetShard(),
		Version:  send.Request.GetVersion(),
		Rows:     rows,
		RowCount: uint32(len(rows)),
		Complete: true,
	}
}

func (d *driver) reply(send Send, change ...func(*wire.SearchResponse)) {
	d.t.Helper()
	reply := goodReply(send)
	for _, f := range change {
		f(reply)
	}
	d.now = d.now.Add(time.Millisecond)
	delete(d.running, send.Request.GetAttempt())
	d.machine.Reply(d.now, send.Request.GetAttempt(), reply)
	d.collect()
}

func (d *driver) fail(send Send, failure Failure) {
	d.t.Helper()
	d.now = d.now.Add(time.Millisecond)
	delete(d.running, send.Request.GetAttempt())
	d.machine.Fail(d.now, send.Request.GetAttempt(), failure)
	d.collect()
}

// replyAll answers everything that is sent until nothing is.
func (d *driver) replyAll() {
	d.t.Helper()
	for len(d.sends) > 0 {
		send := d.sends[0]
		d.sends = d.sends[1:]
		d.reply(send)
	}
}

func (d *driver) answer(query uint64) Answer {
	d.t.Helper()
	answer, ok := d.answers[query]
	if !ok {
		d.t.Fatalf("query %d has no answer; sent: %v", query, d.sends)
	}
	return answer
}

// driverRows is a shard's data in one version; the last row stands in the neighbour shard too.
func driverRows(version uint64, shard, query string) []*wire.Row {
	var rows []*wire.Row
	for i := range 3 {
		rows = append(rows, &wire.Row{
			Key:   fmt.Sprintf("%s/%d", shard, i),
			Score: float64((int(version)*7+i*3+len(query))%10 + i),
			Value: fmt.Sprintf("v%d %s", version, query),
		})
	}
	return append(rows, &wire.Row{
		Key:   "everywhere",
		Score: 5,
		Value: fmt.Sprintf("v%d %s", version, query),
	})
}

// check compares an answer row by row with the data of the version it names, and its coverage with the exact weight.
func (d *driver) check(answer Answer) {
	d.t.Helper()
	if answer.Outcome != wire.Outcome_OUTCOME_ANSWERED {
		if len(answer.Rows) > 0 || answer.Coverage > 0 {
			d.t.Fatalf("not answered, but with rows or coverage: %+v", answer)
		}
		return
	}
	manifest, ok := d.manifests[answer.Version]
	if !ok {
		d.t.Fatalf("no such version: %+v", answer)
	}
	var covered, total uint64
	var parts [][]*wire.Row
	for _, s := range manifest.GetShards() {
		total += s.GetWeight()
		if slices.Contains(answer.Missing, s.GetShard()) {
			continue
		}
		covered += s.GetWeight()
		parts = append(parts, driverRows(answer.Version, s.GetShard(), answer.Query.Text))
	}
	if want := uint32(covered * wire.CoverageWhole / total); answer.Coverage != want {
		d.t.Fatalf("coverage %d, want %d: %+v", answer.Coverage, want, answer)
	}
	if (answer.Coverage == wire.CoverageWhole) != (len(answer.Missing) == 0) {
		d.t.Fatalf("whole coverage with missing shards, or the reverse: %+v", answer)
	}
	if want := merger.Merge(parts, answer.Query.Limit); !reflect.DeepEqual(answer.Rows, want) {
		d.t.Fatalf("rows of %+v differ from version %d", answer, answer.Version)
	}
	if versioner.TotalWeight(manifest) != total {
		d.t.Fatalf("total %d, want %d", versioner.TotalWeight(manifest), total)
	}
}
