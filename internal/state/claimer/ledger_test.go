package claimer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	granted    = wire.ClaimVerdict_CLAIM_VERDICT_GRANTED
	held       = wire.ClaimVerdict_CLAIM_VERDICT_HELD
	answered   = wire.ClaimVerdict_CLAIM_VERDICT_RECORDED
	expired    = wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED
	conflict   = wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT
	closed     = wire.ClaimVerdict_CLAIM_VERDICT_CLOSED
	full       = wire.ClaimVerdict_CLAIM_VERDICT_FULL
	superseded = wire.ClaimVerdict_CLAIM_VERDICT_SUPERSEDED

	startMs = int64(1_000_000)
)

func claimOf(id string, call uint32) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		ClaimId:    id,
		Service:    "s",
		Key:        "k",
		Tenant:     "t",
		BodyDigest: "b",
		KeyTimeMs:  startMs,
		Call:       call,
	}
}

func recordOf(id string, outcome wire.Outcome) *wire.RecordRequest {
	return &wire.RecordRequest{
		ClaimId:    id,
		Service:    "s",
		Key:        "k",
		Tenant:     "t",
		BodyDigest: "b",
		KeyTimeMs:  startMs,
		Outcome:    outcome,
		Result:     "result of " + id,
	}
}

func closing(ask *wire.ClaimRequest) *wire.ClaimRequest {
	ask.Closing = true
	return ask
}

func withBody(ask *wire.ClaimRequest, digest string) *wire.ClaimRequest {
	ask.BodyDigest = digest
	return ask
}

func at(ask *wire.ClaimRequest, keyTimeMs int64) *wire.ClaimRequest {
	ask.KeyTimeMs = keyTimeMs
	return ask
}

// step is one command: a claim with its verdict, a record with whether it took, or a time.
type step struct {
	claim   *wire.ClaimRequest
	verdict wire.ClaimVerdict
	record  *wire.RecordRequest
	taken   bool
	nowMs   int64
}

func claims(ask *wire.ClaimRequest, verdict wire.ClaimVerdict) step {
	return step{
		claim:   ask,
		verdict: verdict,
	}
}

func records(ask *wire.RecordRequest, taken bool) step {
	return step{
		record: ask,
		taken:  taken,
	}
}

func TestLedgerDecides(t *testing.T) {
	const notRun, done, unknown = wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_ANSWERED, wire.Outcome_OUTCOME_UNKNOWN
	windowEnd := startMs + Window.Milliseconds()
	cases := []struct {
		name  string
		steps []step
	}{
		{"the same claim lands twice", []step{claims(claimOf("x", 0), granted), claims(claimOf("x", 0), granted)}},
		{"two entry instances at once", []step{claims(claimOf("x", 0), granted), claims(claimOf("y", 0), held)}},
		{"a resend gets the recorded outcome", []step{claims(claimOf("x", 0), granted), records(recordOf("x", done), true), claims(claimOf("y", 1), answered)}},
		{"an unknown outcome is never run again", []step{claims(claimOf("x", 0), granted), records(recordOf("x", unknown), true), claims(claimOf("y", 1), answered)}},
		{"a not-run one may be claimed again", []step{claims(claimOf("x", 0), granted), records(recordOf("x", notRun), true), claims(claimOf("y", 1), granted)}},
		{"only the holder records", []step{claims(claimOf("x", 0), granted), records(recordOf("y", done), false), claims(claimOf("z", 1), held)}},
		{"an outcome is recorded once", []step{claims(claimOf("x", 0), granted), records(recordOf("x", unknown), true), records(recordOf("x", done), false), records(recordOf("x", unknown), true)}},
		{"an outcome for a claim that never came", []step{records(recordOf("x", done), false), claims(claimOf("y", 0), granted)}},
		{"a claim lands after its holder gave up", []step{records(recordOf("x", notRun), true), claims(claimOf("x", 0), superseded), claims(claimOf("y", 0), granted)}},
		{"a claim lands again after its not-run", []step{claims(claimOf("x", 0), granted), records(recordOf("x", notRun), true), claims(claimOf("x", 0), superseded)}},
		{"a claim that was told held lands again", []step{claims(claimOf("x", 0), granted), claims(claimOf("y", 0), held), records(recordOf("x", notRun), true), claims(claimOf("y", 0), superseded)}},
		{"giving up frees no other's claim", []step{claims(claimOf("x", 0), granted), records(recordOf("y", notRun), true), claims(claimOf("z", 0), held)}},
		{"an earlier call lands after a later one ended", []step{claims(claimOf("y", 1), granted), records(recordOf("y", notRun), true), claims(claimOf("x", 0), superseded)}},
		{"an earlier call lands after a later one closed", []step{claims(closing(claimOf("y", 1)), closed), claims(claimOf("x", 0), superseded), claims(claimOf("z", 2), granted)}},
		{"closing gets the recorded outcome", []step{claims(claimOf("x", 0), granted), records(recordOf("x", done), true), claims(closing(claimOf("y", 1)), answered)}},
		{"closing waits for no holder", []step{claims(claimOf("x", 0), granted), claims(closing(claimOf("y", 1)), held)}},
		{"another body", []step{claims(claimOf("x", 0), granted), claims(withBody(claimOf("y", 0), "c"), conflict)}},
		{"another key time", []step{claims(claimOf("x", 0), granted), claims(at(claimOf("y", 0), startMs+1), conflict)}},
		{"a key from the future", []step{claims(at(claimOf("x", 0), startMs+maxSkew.Milliseconds()+1), conflict)}},
		{"a resend after the window", []step{claims(claimOf("x", 0), granted), records(recordOf("x", done), true), {nowMs: windowEnd}, claims(claimOf("y", 1), expired)}},
		{"a key that was never seen, after its window", []step{{nowMs: windowEnd}, claims(claimOf("x", 0), expired)}},
		{"giving up after the window", []step{{nowMs: windowEnd}, records(recordOf("x", notRun), false)}},
		{"a held claim just before the window ends", []step{claims(claimOf("x", 0), granted), {nowMs: windowEnd - 1}, claims(claimOf("y", 1), held)}},
		{"the clock never goes back", []step{{nowMs: windowEnd}, {nowMs: startMs}, claims(claimOf("x", 0), expired)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			l.Advance(startMs)
			for i, s := range c.steps {
				play(t, l, i, s)
				// A restart from a snapshot after any step changes nothing.
				l = Restore(l.NowMs(), l.Claims())
			}
		})
	}
}

func play(t *testing.T, l *Ledger, i int, s step) {
	t.Helper()
	switch {
	case s.claim != nil:
		if got := l.Claim(s.claim).GetVerdict(); got != s.verdict {
			t.Fatalf("step %d: claim %s: %v, want %v", i, s.claim.GetClaimId(), got, s.verdict)
		}
	case s.record != nil:
		if got := l.Record(s.record).GetRecorded(); got != s.taken {
			t.Fatalf("step %d: record %s: %t, want %t", i, s.record.GetClaimId(), got, s.taken)
		}
	default:
		l.Advance(s.nowMs)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	l := New()
	l.Advance(startMs)
	ask := func(tenant string, i int) wire.ClaimVerdict {
		claim := claimOf("x", 0)
		claim.Tenant = tenant
		claim.Key = fmt.Sprint(tenant, i)
		return l.Claim(claim).GetVerdict()
	}
	for i := range MaxTenantKeys {
		if got := ask("greedy", i); got != granted {
			t.Fatalf("key %d: %v", i, got)
		}
	}
	if got := ask("greedy", MaxTenantKeys); got != full {
		t.Errorf("a tenant's key too many: %v", got)
	}
	if got := ask("greedy", 0); got != granted {
		t.Errorf("a known key while the tenant is full: %v", got)
	}
	if got := ask("other", 0); got != granted {
		t.Errorf("another tenant: %v", got)
	}
	for key, count := range map[string]int{"b": MaxTenantKeys, "c": MaxTenantKeys, "d": MaxTenantKeys - 1} {
		for i := range count {
			if got := ask(key, i); got != granted {
				t.Fatalf("tenant %s key %d: %v", key, i, got)
			}
		}
	}
	if got := ask("d", MaxTenantKeys); got != full {
		t.Errorf("a key too many: %v", got)
	}
	l.Advance(startMs + Window.Milliseconds())
	if len(l.Claims()) != 0 || len(l.tenants) != 0 || l.expiries.Len() != 0 {
		t.Errorf("left after the window: %d claims, %d tenants, %d expiries", len(l.Claims()), len(l.tenants), l.expiries.Len())
	}
}

func TestLedgerForgetsOldestGivenUp(t *testing.T) {
	l := New()
	l.Advance(startMs)
	for i := range 3 * maxGivenUp {
		l.Record(recordOf(fmt.Sprint("x", i), wire.Outcome_OUTCOME_NOT_RUN))
	}
	marks := l.Claims()[0].GetGivenUp()
	if len(marks) != maxGivenUp || marks[maxGivenUp-1] != fmt.Sprint("x", 3*maxGivenUp-1) {
		t.Errorf("%d marks: %v", len(marks), marks)
	}
}

func filled(size int) *Ledger {
	l := New()
	l.Advance(startMs)
	for i := range size {
		claim := claimOf(fmt.Sprintf("11111111-2222-3333-4444-%012d", i), 0)
		claim.Key = fmt.Sprintf("mailbox-restore-%08d", i)
		claim.Tenant = fmt.Sprint("tenant-", i%100)
		claim.BodyDigest = fmt.Sprintf("%064d", i)
		claim.RequestId = claim.GetClaimId()
		claim.KeyTimeMs += int64(i)
		l.Claim(claim)
		record := recordOf(claim.GetClaimId(), wire.Outcome_OUTCOME_ANSWERED)
		record.Key = claim.GetKey()
		l.Record(record)
	}
	return l
}

// BenchmarkLedger gives the time of the clock's advance with one claim at three sizes, and a claim's bytes in a snapshot and in memory.
func BenchmarkLedger(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 99_900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			empty := heapBytes()
			l := filled(size)
			inMemory := float64(heapBytes()-empty) / float64(size)
			encoded := 0
			for _, state := range l.Claims() {
				encoded += proto.Size(state)
			}
			i := 0
			for b.Loop() {
				i++
				l.Advance(startMs + int64(i))
				ask := claimOf("x", 0)
				ask.Key = fmt.Sprint("fresh-", i%100)
				ask.KeyTimeMs = startMs + time.Hour.Milliseconds()
				l.Claim(ask)
			}
			b.ReportMetric(float64(encoded)/float64(size), "snapshot-B/claim")
			b.ReportMetric(inMemory, "heap-B/claim")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
