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

// fataler is the part of *testing.T and *rapid.T that the driver needs.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// driver drives one machine without I/O and records its sends and answers.
type driver struct {
	t           fataler
	machine     *Machine
	now         time.Time
	manifests   map[uint64]*wire.Manifest
	holdings    map[string][]*wire.Holding
	sequence    uint64
	zone        string
	lastQueryID uint64
	// sends are the sends that the test has not removed yet.
	sends     []Send
	cancelled map[uint64]bool
	// runningAt is the upstream of each attempt in flight, by attempt ID.
	runningAt map[uint64]string
	answers   map[uint64]Answer
}

// TestMain fixes the seed of the rapid tests, so that every run generates the same events; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20")
	}
	m.Run()
}

func newDriver(t fataler, policy router.Policy) *driver {
	d := &driver{
		t:         t,
		machine:   New(registrar.New(), router.New(policy, rand.New(rand.NewPCG(1, 2))), 0),
		now:       time.Unix(1_000_000, 0),
		zone:      "zone-a",
		manifests: map[uint64]*wire.Manifest{},
		holdings:  map[string][]*wire.Holding{},
		cancelled: map[uint64]bool{},
		runningAt: map[uint64]string{},
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
		config.Services[0].Shards = append(config.Services[0].Shards, shardName(i))
	}
	d.machine.Configure(d.now, config)
	// Fill the retry budget, as first attempts have done on a running instance; the budget is not under test here.
	for range 2000 {
		d.machine.RetryBudget.Deposit()
	}
	return d
}

func shardName(i int) string { return fmt.Sprintf("s%02d", i) }

// setVersion sets the shards of a version, from s00 on, with the given weights.
func (d *driver) setVersion(version uint64, weights ...uint64) {
	manifest := &wire.Manifest{
		Service: driverService,
		Version: version,
	}
	for i, weight := range weights {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  shardName(i),
			Weight: weight,
		})
	}
	d.manifests[version] = manifest
}

// hold announces that the upstream holds these shards of the version in addition to its previous holdings.
func (d *driver) hold(upstream string, version uint64, shards ...int) {
	for _, i := range shards {
		d.holdings[upstream] = append(d.holdings[upstream], &wire.Holding{
			Service: driverService,
			Version: version,
			Shard:   shardName(i),
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

// startQuery starts a query that requires full coverage, and returns its ID.
func (d *driver) startQuery(text string, timeout time.Duration) uint64 {
	d.lastQueryID++
	d.machine.StartQuery(d.now, Query{
		ID:               d.lastQueryID,
		Service:          driverService,
		Text:             text,
		Limit:            driverLimit,
		RequiredCoverage: wire.FullCoverage,
		ArrivedAt:        d.now,
		Deadline:         d.now.Add(timeout),
	})
	d.collectActions()
	return d.lastQueryID
}

func (d *driver) tick(elapsed time.Duration) {
	d.now = d.now.Add(elapsed)
	d.machine.Tick(d.now)
	d.collectActions()
}

// collectActions takes the machine's actions and checks every answer.
func (d *driver) collectActions() {
	d.t.Helper()
	actions := d.machine.TakeActions()
	for _, id := range actions.Cancels {
		d.cancelled[id] = true
		delete(d.runningAt, id)
	}
	for _, send := range actions.Sends {
		d.runningAt[send.Request.GetAttempt()] = send.Upstream
	}
	d.sends = append(d.sends, actions.Sends...)
	d.checkSlots()
	for _, answer := range actions.Answers {
		if _, isDuplicate := d.answers[answer.Query.ID]; isDuplicate {
			d.t.Fatalf("query %d answered twice", answer.Query.ID)
		}
		d.answers[answer.Query.ID] = answer
		d.checkAnswer(answer)
	}
}

// checkSlots fails the test if an upstream has more attempts in flight under the owner policy than its slots and one pipelined attempt.
func (d *driver) checkSlots() {
	d.t.Helper()
	if d.machine.Router.Policy() != router.Owner {
		return
	}
	inFlight := map[string]int{}
	for _, upstream := range d.runningAt {
		inFlight[upstream]++
		if inFlight[upstream] > driverSlots+1 {
			d.t.Fatalf("%d attempts in flight at %s", inFlight[upstream], upstream)
		}
	}
}

// takeSend removes and returns the first send for the shard, or fails the test if there is none.
func (d *driver) takeSend(shard int) Send {
	d.t.Helper()
	for i, send := range d.sends {
		if send.Request.GetShard() == shardName(shard) {
			d.sends = slices.Delete(d.sends, i, i+1)
			return send
		}
	}
	d.t.Fatalf("nothing sent for shard %d: %v", shard, d.sends)
	return Send{}
}

func validReply(send Send) *wire.SearchResponse {
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

func (d *driver) reply(send Send, mutations ...func(*wire.SearchResponse)) {
	d.t.Helper()
	reply := validReply(send)
	for _, mutate := range mutations {
		mutate(reply)
	}
	d.now = d.now.Add(time.Millisecond)
	delete(d.runningAt, send.Request.GetAttempt())
	d.machine.HandleReply(d.now, send.Request.GetAttempt(), reply)
	d.collectActions()
}

func (d *driver) fail(send Send, failure Failure) {
	d.t.Helper()
	d.now = d.now.Add(time.Millisecond)
	delete(d.runningAt, send.Request.GetAttempt())
	d.machine.HandleFailure(d.now, send.Request.GetAttempt(), failure)
	d.collectActions()
}

// replyAll replies to all sends, including those that the replies cause.
func (d *driver) replyAll() {
	d.t.Helper()
	for len(d.sends) > 0 {
		send := d.sends[0]
		d.sends = d.sends[1:]
		d.reply(send)
	}
}

func (d *driver) answerTo(query uint64) Answer {
	d.t.Helper()
	answer, ok := d.answers[query]
	if !ok {
		d.t.Fatalf("query %d has no answer; sent: %v", query, d.sends)
	}
	return answer
}

// driverRows returns the rows of a shard in one version; the last row has the same key in every shard, so that merging has to remove duplicates.
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

// checkAnswer compares the rows of an answer with the data of its version, and its coverage with the weights of the shards in it.
func (d *driver) checkAnswer(answer Answer) {
	d.t.Helper()
	if answer.Outcome != wire.Outcome_OUTCOME_ANSWERED {
		if len(answer.Rows) > 0 || answer.Coverage > 0 {
			d.t.Fatalf("query without an answer has rows or coverage: %+v", answer)
		}
		return
	}
	manifest, ok := d.manifests[answer.Version]
	if !ok {
		d.t.Fatalf("answer names an unknown version: %+v", answer)
	}
	var covered, total uint64
	var parts [][]*wire.Row
	for _, s := range manifest.GetShards() {
		total += s.GetWeight()
		if slices.Contains(answer.MissingShards, s.GetShard()) {
			continue
		}
		covered += s.GetWeight()
		parts = append(parts, driverRows(answer.Version, s.GetShard(), answer.Query.Text))
	}
	if want := uint32(covered * wire.FullCoverage / total); answer.Coverage != want {
		d.t.Fatalf("coverage %d, want %d: %+v", answer.Coverage, want, answer)
	}
	if (answer.Coverage == wire.FullCoverage) != (len(answer.MissingShards) == 0) {
		d.t.Fatalf("coverage and missing shards contradict each other: %+v", answer)
	}
	if want := merger.Merge(parts, answer.Query.Limit); !reflect.DeepEqual(answer.Rows, want) {
		d.t.Fatalf("rows of %+v differ from those of version %d", answer, answer.Version)
	}
	if versioner.TotalWeight(manifest) != total {
		d.t.Fatalf("total %d, want %d", versioner.TotalWeight(manifest), total)
	}
}
