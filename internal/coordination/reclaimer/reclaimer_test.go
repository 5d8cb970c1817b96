package reclaimer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestAdmit guards against a newcomer that is shut out by connections nobody uses, and against a request in service that is cut off.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name   string
		stages []Stage
		// age is how long ago the last client was admitted.
		age        time.Duration
		wantVictim string
		isRefused  bool
	}{
		{"room", []Stage{Serving}, 0, "", false},
		{"oldest idle", []Stage{Serving, Idle, Idle}, 0, "1", false},
		{"one of whom nothing was served", []Stage{Idle, Serving, Idle}, 0, "2", false},
		{"ending before idle", []Stage{Serving, Idle, Ending}, 0, "2", false},
		{"idle before receiving", []Stage{Receiving, Serving, Idle}, time.Hour, "2", false},
		{"longest receiving", []Stage{Serving, Receiving, Receiving}, Patience, "1", false},
		{"longest sending", []Stage{Serving, Sending, Sending}, Patience, "1", false},
		{"sending for a moment", []Stage{Serving, Sending, Sending}, Patience / 2, "", true},
		{"receiving for a moment", []Stage{Serving, Receiving, Receiving}, Patience / 2, "", true},
		{"all in service", []Stage{Serving, Serving, Serving}, time.Hour, "", true},
	}
	for _, c := range cases {
		g := New[string](100).NewGroup(3)
		for i, stage := range c.stages {
			client, _ := g.Admit(start, string(rune('0'+i)))
			if i == 0 {
				g.reclaimer.SetStage(start, client, Serving)
			}
			g.reclaimer.SetStage(start, client, stage)
		}
		client, victim := g.Admit(start.Add(c.age), "new")
		if (client == nil) != c.isRefused {
			t.Errorf("%s: refused %t, want %t", c.name, client == nil, c.isRefused)
		}
		if got := ownerOf(victim); got != c.wantVictim {
			t.Errorf("%s: victim %q, want %q", c.name, got, c.wantVictim)
		}
		if g.Len() > 3 {
			t.Errorf("%s: %d clients, more than 3", c.name, g.Len())
		}
	}
}

func ownerOf(c *Client[string]) string {
	if c == nil {
		return ""
	}
	return c.Owner
}

// TestGrow guards against requests that stop arriving and keep the memory from others, and against one that takes memory which is in use.
func TestGrow(t *testing.T) {
	r := New[string](100)
	callers, probes := r.NewGroup(10), r.NewGroup(10)
	serving, _ := callers.Admit(start, "serving")
	stalled, _ := callers.Admit(start, "stalled")
	probe, _ := probes.Admit(start, "probe")
	small, _ := callers.Admit(start, "small")
	newcomer, _ := callers.Admit(start, "newcomer")
	r.SetStage(start, serving, Serving)
	for _, c := range []*Client[string]{small, stalled, probe, newcomer} {
		r.SetStage(start.Add(time.Duration(c.Owner[0])), c, Receiving)
	}
	steps := []struct {
		name       string
		client     *Client[string]
		after      time.Duration
		bytes      int64
		want       bool
		wantVictim string
		wantHeld   int64
	}{
		{"in service", serving, 0, 40, true, "", 40},
		{"arriving", stalled, 0, 30, true, "", 70},
		{"at another listener", probe, 0, 20, true, "", 90},
		{"more than is left", newcomer, Patience / 2, 20, false, "", 90},
		{"in favor of the one that holds most", newcomer, 2 * Patience, 20, true, "stalled", 80},
		{"again", newcomer, 2 * Patience, 30, true, "probe", 90},
		{"itself alone", newcomer, 2 * Patience, 20, false, "", 90},
		{"beyond all memory", newcomer, time.Hour, 101, false, "", 90},
		{"cut off", stalled, time.Hour, 1, false, "", 90},
	}
	for _, s := range steps {
		granted, victims := r.Grow(start.Add(s.after), s.client, s.bytes)
		victim := ""
		for _, v := range victims {
			victim += v.Owner
		}
		if granted != s.want || victim != s.wantVictim || r.Held() != s.wantHeld {
			t.Errorf("%s: granted %t, victims %q, %d bytes held; want %t, %q, %d", s.name, granted, victim, r.Held(), s.want, s.wantVictim, s.wantHeld)
		}
	}
}

// TestHeldBytes guards against bytes that stay held once nobody uses them, or are returned twice, whatever the order of events.
func TestHeldBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New[int](1000)
		g := r.NewGroup(4)
		now := start
		var clients []*Client[int]
		detached := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if client, _ := g.Admit(now, len(clients)); client != nil {
				clients = append(clients, client)
			}
			c := rapid.SampledFrom(clients).Draw(t, "client")
			bytes := int64(rapid.IntRange(0, 500).Draw(t, "bytes"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				r.Grow(now, c, bytes)
			case 1:
				r.SetStage(now, c, Stage(rapid.IntRange(0, int(stageCount)-1).Draw(t, "stage")))
			case 2:
				detached += r.Detach(c, bytes)
			case 3:
				r.Return(detached)
				detached = 0
				r.Progress(now, c)
			default:
				r.Close(c)
			}
			held := detached
			for _, c := range clients {
				held += c.bytes
			}
			if r.Held() != held || held > 1000 || g.Len() > 4 {
				t.Fatalf("%d bytes held, clients have %d; %d clients", r.Held(), held, g.Len())
			}
		}
	})
}

// TestDivide guards against shares that leave a process too little of its memory and descriptors, or that ordinary clients meet.
func TestDivide(t *testing.T) {
	const processMemory = 60 << 20
	for _, c := range []struct {
		memoryMB, openFiles int64
	}{{160, 4096}, {184, 4100}, {284, 4100}, {451, 10_933}, {160, 512}} {
		memory := c.memoryMB << 20
		b := DivideEntry(memory, c.openFiles)
		clients := int64(b.Clients.Connections)*connectionMemory + b.Clients.RequestBytes
		if clients > memory-processMemory {
			t.Errorf("%d MB: %d MB for clients leave too little", c.memoryMB, clients>>20)
		}
		if files := int64(b.Clients.Connections + b.Peers.Connections + 2*b.Probes); files > c.openFiles*3/4 {
			t.Errorf("%d descriptors: %d for clients", c.openFiles, files)
		}
		if c.openFiles > 4000 && b.Clients.Connections < 1000 {
			t.Errorf("%d MB: %d connections", c.memoryMB, b.Clients.Connections)
		}
	}
	for _, memoryMB := range []int64{256, 280} {
		b := DivideControl(memoryMB<<20, 4096)
		if b.Peers.Connections < 1000 || b.Clients.Connections < 800 {
			t.Errorf("%d MB: %d connections of clients, %d of peers", memoryMB, b.Clients.Connections, b.Peers.Connections)
		}
	}
}
