package limiter

import "testing"

// TestByteBudget guards against one holder that takes all bytes from the others, and against bytes that stay held or are returned twice.
func TestByteBudget(t *testing.T) {
	b := NewByteBudget(100, 60)
	faulty, other := b.NewLease("faulty"), b.NewLease("other")
	steps := []struct {
		name  string
		lease *ByteLease
		count int64
		want  bool
		held  int64
	}{
		{"within both limits", faulty, 60, true, 60},
		{"beyond the holder's limit", faulty, 1, false, 60},
		{"beyond it, by another lease", b.NewLease("faulty"), 1, false, 60},
		{"by another holder", other, 40, true, 100},
		{"beyond the limit", other, 1, false, 100},
	}
	for _, s := range steps {
		if got := s.lease.TryGrow(s.count); got != s.want || b.Held() != s.held {
			t.Errorf("%s: %t, %d bytes held; want %t, %d", s.name, got, b.Held(), s.want, s.held)
		}
	}
	faulty.Release()
	faulty.Release()
	if b.Held() != 40 || faulty.Bytes() != 0 || faulty.TryGrow(1) {
		t.Errorf("%d bytes held after a release, want 40", b.Held())
	}
	other.Release()
	var none *ByteLease
	none.Release()
	if b.Held() != 0 || len(b.byHolder) != 0 {
		t.Errorf("%d bytes of %d holders held in the end", b.Held(), len(b.byHolder))
	}
}
