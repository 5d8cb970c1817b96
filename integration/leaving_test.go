package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// leavingLimit is when an upstream that is leaving receives no new work any more.
	leavingLimit = 2 * time.Second
	// watchTime is how long its record is watched after that.
	watchTime = 500 * time.Millisecond
)

// TestLeavingUpstream lets one upstream after another leave in a different way while all entry instances are asked, and reads its own record of what reached it.
func TestLeavingUpstream(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 4,
		links:    true,
	})
	load := startLoad(f.entries)
	defer load.close()
	cases := []struct {
		name  string
		leave func(s *process)
	}{
		{"notice seen by one entry instance only", func(s *process) {
			s.switchTo(map[string]any{"announce-to": []string{s.entriesOf()[0]}, "leaving-announced": true})
		}},
		{"notice lost, its lease ends", func(s *process) { s.switchTo(map[string]any{"announcements-stopped": true}) }},
		{"notice lost, a reply is marked", func(s *process) { s.switchTo(map[string]any{"leaving-marked": true}) }},
		{"notice lost, work is refused", func(s *process) { s.switchTo(map[string]any{"leaving-refused": true}) }},
		{"an older heartbeat after the notice", func(s *process) {
			s.switchTo(map[string]any{"leaving-announced": true})
			time.Sleep(watchTime)
			// Nothing that comes later overrides the old heartbeat.
			s.switchTo(map[string]any{"announcements-stopped": true})
			f.repeatHeartbeats(s)
		}},
		{"cut between zones", func(s *process) {
			f.cutZones()
			s.switchTo(map[string]any{"leaving-announced": true})
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := f.standins[i]
			waitFor(t, readyLimit, "work reaches "+s.name, func() bool { return s.started().SearchesReceived > 10 })
			c.leave(s)
			time.Sleep(leavingLimit)
			before := s.started().SearchesReceived
			time.Sleep(watchTime)
			if after := s.started().SearchesReceived; after != before {
				t.Errorf("%s received %d requests from %s on after its notice", s.name, after-before, leavingLimit)
			}
		})
	}
}

// TestRunMarksLeaving lets an upstream say only with its word on a run that it is leaving, while its heartbeats go on.
func TestRunMarksLeaving(t *testing.T) {
	cases := []struct {
		name     string
		switches map[string]any
		outcome  string
	}{
		{"its reply is marked", map[string]any{"leaving-marked": true}, "answered"},
		{"it refuses the run", map[string]any{"leaving-refused": true}, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, plan{
				controls: 1,
				entries:  1,
				zones:    1,
				shards:   1,
				replicas: 1,
			})
			e, s := f.entries[0], f.standins[0]
			before := s.started().SearchesReceived
			s.switchTo(c.switches)
			if answer, _ := e.run("last", time.Now()); answer.Outcome != c.outcome {
				t.Fatalf("the run: %+v", answer)
			}
			if answer, _ := e.query("next", 500); answer.Reason != "no-upstream" {
				t.Errorf("the query after it: %+v", answer)
			}
			if after := s.started().SearchesReceived; after != before {
				t.Errorf("%d requests received after the run", after-before)
			}
		})
	}
}

// load asks entry instances without a pause until it is closed.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
}

func startLoad(entries []*process) *load {
	l := &load{
		stop: make(chan struct{}),
	}
	for _, e := range entries {
		l.done.Go(func() { l.run(e) })
	}
	return l
}

func (l *load) run(e *process) {
	for {
		select {
		case <-l.stop:
			return
		default:
			e.query("load", 500)
		}
	}
}

func (l *load) close() {
	close(l.stop)
	l.done.Wait()
}

// switchTo changes how a stand-in behaves.
func (p *process) switchTo(switches map[string]any) {
	p.t.Helper()
	encoded, err := json.Marshal(switches)
	check(p.t, err)
	response, err := http.Post("http://"+p.address+"/switches", "application/json", strings.NewReader(string(encoded)))
	check(p.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		p.t.Fatalf("%s: switches %s: status %d", p.name, encoded, response.StatusCode)
	}
}

// entriesOf returns where a stand-in announces itself.
func (p *process) entriesOf() []string {
	settings, ok := p.settings.(*checker.StandinSettings)
	if !ok {
		p.t.Fatalf("%s is no stand-in", p.name)
	}
	return settings.Entries
}

// repeatHeartbeats sends an old heartbeat of the stand-in to every entry instance, as a network that reorders would.
func (f *fleet) repeatHeartbeats(s *process) {
	f.t.Helper()
	settings, ok := s.settings.(*checker.StandinSettings)
	if !ok {
		f.t.Fatalf("%s is no stand-in", s.name)
	}
	ann := &wire.Announcement{
		Upstream:    s.name,
		Address:     settings.Advertise,
		Zone:        s.zone,
		Slots:       settings.Slots,
		Connections: settings.Connections,
		LeaseMs:     10_000,
		Sequence:    1,
		Holdings: []*wire.Holding{{
			Service: service,
			Version: settings.Version,
			Shard:   settings.Shards[0],
		}},
	}
	for _, e := range f.entries {
		client := wireconnect.NewAnnouncementServiceClient(http.DefaultClient, "http://"+e.address)
		// The first answer tells the incarnation, under which the heartbeat is then repeated.
		for range 2 {
			response, err := client.Announce(context.Background(), connect.NewRequest(&wire.AnnounceRequest{
				Announcement: ann,
			}))
			check(f.t, err)
			ann.Incarnation = response.Msg.GetIncarnation()
		}
		if ann.GetIncarnation() == 0 {
			f.t.Fatalf("%s does not know %s", e.name, s.name)
		}
	}
}

// cutZones cuts every link between processes of different zones.
func (f *fleet) cutZones() {
	for _, link := range f.zoneLinks() {
		f.cut(link[0], link[1])
	}
}

func (f *fleet) healZones() {
	for _, link := range f.zoneLinks() {
		f.heal(link[0], link[1])
	}
}

func (f *fleet) zoneLinks() [][2]string {
	zones := map[string]string{}
	for _, list := range [][]*process{f.controls, f.entries, f.standins} {
		for _, p := range list {
			zones[p.name] = p.zone
		}
	}
	var links [][2]string
	for name := range f.proxies {
		from, to, _ := strings.Cut(name, ">")
		if zones[from] != "" && zones[from] != zones[to] {
			links = append(links, [2]string{from, to})
		}
	}
	return links
}
