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
	// leavingTimeout is the time after which a leaving upstream must receive no more work.
	leavingTimeout = 2 * time.Second
	// observationTime is how long the upstream is then checked for further searches.
	observationTime = 500 * time.Millisecond
)

// TestLeavingUpstream makes one upstream after another leave, each in a different way, under query load on all entry instances. Each upstream's own record must show no search received after leavingTimeout.
func TestLeavingUpstream(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 4,
		proxied:  true,
	})
	load := startQueryLoad(f.entries)
	defer load.close()
	cases := []struct {
		name  string
		leave func(s *process)
	}{
		{"notice seen by one entry instance only", func(s *process) {
			s.setSwitches(map[string]any{"announce-to": []string{s.entryAddresses()[0]}, "leaving-announced": true})
		}},
		{"notice lost, its lease ends", func(s *process) { s.setSwitches(map[string]any{"announcements-stopped": true}) }},
		{"notice lost, a reply is marked", func(s *process) { s.setSwitches(map[string]any{"leaving-marked": true}) }},
		{"notice lost, work is refused", func(s *process) { s.setSwitches(map[string]any{"leaving-refused": true}) }},
		{"an older heartbeat after the notice", func(s *process) {
			s.setSwitches(map[string]any{"leaving-announced": true})
			time.Sleep(observationTime)
			// Without further announcements, no later heartbeat overrides the replayed one.
			s.setSwitches(map[string]any{"announcements-stopped": true})
			f.replayHeartbeats(s)
		}},
		{"cut between zones", func(s *process) {
			f.cutZoneLinks()
			s.setSwitches(map[string]any{"leaving-announced": true})
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := f.standins[i]
			waitFor(t, readyTimeout, "work reaches "+s.name, func() bool { return s.standinRecord().SearchesReceived > 10 })
			c.leave(s)
			time.Sleep(leavingTimeout)
			before := s.standinRecord().SearchesReceived
			time.Sleep(observationTime)
			if after := s.standinRecord().SearchesReceived; after != before {
				t.Errorf("%s received %d searches later than %s after its notice", s.name, after-before, leavingTimeout)
			}
		})
	}
}

// TestRunMarksLeaving makes an upstream signal that it is leaving only in its response to a run, while its heartbeats continue unchanged.
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
			f := newFleet(t, topology{
				controls: 1,
				entries:  1,
				zones:    1,
				shards:   1,
				replicas: 1,
			})
			e, s := f.entries[0], f.standins[0]
			before := s.standinRecord().SearchesReceived
			s.setSwitches(c.switches)
			if answer, _ := e.run("last", time.Now()); answer.Outcome != c.outcome {
				t.Fatalf("unexpected outcome of the run: %+v", answer)
			}
			if answer, _ := e.query("next", 500); answer.Reason != "no-upstream" {
				t.Errorf("query after the run: %+v, want reason no-upstream", answer)
			}
			if after := s.standinRecord().SearchesReceived; after != before {
				t.Errorf("the upstream received %d more searches, want 0", after-before)
			}
		})
	}
}

// queryLoad sends queries to each entry instance back to back until it is closed.
type queryLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup
}

func startQueryLoad(entries []*process) *queryLoad {
	l := &queryLoad{
		stop: make(chan struct{}),
	}
	for _, e := range entries {
		l.clients.Go(func() { l.run(e) })
	}
	return l
}

func (l *queryLoad) run(e *process) {
	for {
		select {
		case <-l.stop:
			return
		default:
			e.query("load", 500)
		}
	}
}

func (l *queryLoad) close() {
	close(l.stop)
	l.clients.Wait()
}

// setSwitches sets behavior switches of a stand-in upstream; switches not given keep their values.
func (p *process) setSwitches(switches map[string]any) {
	p.t.Helper()
	encoded, err := json.Marshal(switches)
	must(p.t, err)
	response, err := http.Post("http://"+p.address+"/switches", "application/json", strings.NewReader(string(encoded)))
	must(p.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		p.t.Fatalf("%s: switches %s: status %d", p.name, encoded, response.StatusCode)
	}
}

// entryAddresses returns the addresses of the entry instances to which a stand-in announces itself.
func (p *process) entryAddresses() []string {
	settings, ok := p.settings.(*checker.StandinSettings)
	if !ok {
		p.t.Fatalf("%s is not a stand-in", p.name)
	}
	return settings.Entries
}

// replayHeartbeats sends an old heartbeat of the stand-in to every entry instance, which simulates reordering by the network.
func (f *fleet) replayHeartbeats(s *process) {
	f.t.Helper()
	settings, ok := s.settings.(*checker.StandinSettings)
	if !ok {
		f.t.Fatalf("%s is not a stand-in", s.name)
	}
	announcement := &wire.Announcement{
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
		// The first response returns the current incarnation; the heartbeat is sent again with it.
		for range 2 {
			response, err := client.Announce(context.Background(), connect.NewRequest(&wire.AnnounceRequest{
				Announcement: announcement,
			}))
			must(f.t, err)
			announcement.Incarnation = response.Msg.GetIncarnation()
		}
		if announcement.GetIncarnation() == 0 {
			f.t.Fatalf("%s returned no incarnation of %s", e.name, s.name)
		}
	}
}

// cutZoneLinks cuts all links between processes of different zones, except those from entry instances to stand-ins: these share one proxy per stand-in, which also carries the traffic within the zone.
func (f *fleet) cutZoneLinks() {
	for _, link := range f.crossZoneLinks() {
		f.cutLink(link[0], link[1])
	}
}

func (f *fleet) healZoneLinks() {
	for _, link := range f.crossZoneLinks() {
		f.healLink(link[0], link[1])
	}
}

func (f *fleet) crossZoneLinks() [][2]string {
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
