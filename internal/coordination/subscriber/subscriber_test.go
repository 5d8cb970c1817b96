package subscriber

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func sourceOf(zone string) Source {
	return Source{
		Address: "control-" + zone,
		Zone:    zone,
	}
}

func fleetOf(zones ...string) []Source {
	var list []Source
	for _, zone := range zones {
		list = append(list, sourceOf(zone))
	}
	return list
}

// held returns which control instances are asked for news.
func held(s *Subscriber, all []Source) []string {
	var list []string
	for _, one := range all {
		if s.Next(one.Address).Hold {
			list = append(list, one.Zone)
		}
	}
	return list
}

// TestOneBringsNews holds that just one control instance is held on to, whichever are lost or cut off: the one of the own availability zone where it has a quorum.
func TestOneBringsNews(t *testing.T) {
	all := fleetOf("a", "b", "c", "d")
	cases := []struct {
		name        string
		unreached   []string
		unconfirmed []string
		want        []string
	}{
		{"all sound", nil, nil, []string{"b"}},
		{"own lost", []string{"b"}, nil, nil},
		{"own without a quorum", nil, []string{"b"}, nil},
		{"only one sound", []string{"a", "b"}, []string{"c"}, []string{"d"}},
		{"none with a quorum", []string{"a"}, []string{"b", "c", "d"}, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("entry-1", "b")
			s.Add(all)
			for _, one := range all {
				if slices.Contains(c.unreached, one.Zone) {
					s.Failed(one.Address)
					continue
				}
				s.Answered(one.Address, !slices.Contains(c.unconfirmed, one.Zone))
			}
			got := held(s, all)
			if c.want == nil && len(got) == 1 && got[0] != "b" {
				return
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("held on to %v, want %v", got, c.want)
			}
		})
	}
}

// TestLossIsTold holds that the loss of the one that brought news is told, so that the others are asked at once, and that it takes over again.
func TestLossIsTold(t *testing.T) {
	all := fleetOf("a", "b")
	s := New("entry-1", "a")
	s.Add(all)
	for _, one := range all {
		s.Answered(one.Address, true)
	}
	if s.Failed("control-b") {
		t.Error("the loss of another was told as that of the first")
	}
	if !s.Failed("control-a") {
		t.Error("the loss was not told")
	}
	s.Answered("control-b", true)
	if got := held(s, all); !slices.Equal(got, []string{"b"}) {
		t.Errorf("held on to %v after the loss", got)
	}
	s.Answered("control-a", true)
	if got := held(s, all); !slices.Equal(got, []string{"a"}) {
		t.Errorf("held on to %v after it is back", got)
	}
}

// TestLooksAreBounded plays fleets of several sizes: looks at one control instance stay below 100 a second, and a small fleet notices a cut within a second and a half with the limit of a call.
func TestLooksAreBounded(t *testing.T) {
	for _, count := range []int{7, 77, 3700} {
		asked := 0.0
		for i := range count {
			s := New(fmt.Sprintf("entry-%d", i), "nowhere")
			s.Add(fleetOf("a", "b", "c"))
			s.Share(count)
			for _, zone := range []string{"a", "b", "c"} {
				s.Answered("control-"+zone, true)
			}
			if call := s.Next("control-a"); !call.Hold {
				asked += float64(time.Second) / float64(call.Pause)
				if count < 10 && call.Pause > time.Second {
					t.Errorf("%d instances look once in %s", count, call.Pause)
				}
			}
		}
		if asked > 100 {
			t.Errorf("%d instances look %.0f times a second", count, asked)
		}
	}
}

// TestReplacedAreForgotten holds that control instances that a newer roster no longer names do not count, and that an older roster brings none back.
func TestReplacedAreForgotten(t *testing.T) {
	s := New("entry-1", "a")
	s.Add(fleetOf("a", "b", "c"))
	c := s.Replace(10, fleetOf("a", "b", "d"))
	if len(c.Added) != 1 || c.Added[0].Zone != "d" || len(c.Gone) != 1 || c.Gone[0].Zone != "c" {
		t.Errorf("%+v", c)
	}
	if c = s.Replace(9, fleetOf("a", "b", "c")); len(c.Added)+len(c.Gone) > 0 {
		t.Errorf("an older roster: %+v", c)
	}
	if c = s.Replace(11, nil); len(c.Added)+len(c.Gone) > 0 {
		t.Errorf("no roster: %+v", c)
	}
	s.Answered("control-a", true)
	if got := s.Contact(); got.Known != 3 || got.Reached != 1 {
		t.Errorf("contact %+v", got)
	}
}
