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
	recorded   = wire.ClaimVerdict_CLAIM_VERDICT_RECORDED
	expired    = wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED
	conflict   = wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT
	closed     = wire.ClaimVerdict_CLAIM_VERDICT_CLOSED
	full       = wire.ClaimVerdict_CLAIM_VERDICT_FULL
	superseded = wire.ClaimVerdict_CLAIM_VERDICT_SUPERSEDED

	startMs = int64(1_000_000)
)

func newClaim(id string, call uint32) *wire.ClaimRequest {
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

func newRecord(id string, outcome wire.Outcome) *wire.RecordRequest {
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

func withClosing(request *wire.ClaimRequest) *wire.ClaimRequest {
	request.Closing = true
	return request
}

func withBodyDigest(request *wire.ClaimRequest, digest string) *wire.ClaimRequest {
	request.BodyDigest = digest
	return request
}

func withKeyTime(request *wire.ClaimRequest, keyTimeMs int64) *wire.ClaimRequest {
	request.KeyTimeMs = keyTimeMs
	return request
}

// step is one command: a claim with the expected verdict, a record with whether it is accepted, or a clock advance.
type step struct {
	claim    *wire.ClaimRequest
	verdict  wire.ClaimVerdict
	record   *wire.RecordRequest
	recorded bool
	nowMs    int64
}

func claimStep(request *wire.ClaimRequest, verdict wire.ClaimVerdict) step {
	return step{
		claim:   request,
		verdict: verdict,
	}
}

func recordStep(request *wire.RecordRequest, recorded bool) step {
	return step{
		record:   request,
		recorded: recorded,
	}
}

func TestLedgerDecides(t *testing.T) {
	const notRun, done, unknown = wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_ANSWERED, wire.Outcome_OUTCOME_UNKNOWN
	expiresMs := startMs + KeyTTL.Milliseconds()
	cases := []struct {
		name  string
		steps []step
	}{
		{"the same claim is delivered twice", []step{claimStep(newClaim("x", 0), granted), claimStep(newClaim("x", 0), granted)}},
		{"two entry instances claim at the same time", []step{claimStep(newClaim("x", 0), granted), claimStep(newClaim("y", 0), held)}},
		{"a retry gets the recorded outcome", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", done), true), claimStep(newClaim("y", 1), recorded)}},
		{"a request with unknown outcome never runs again", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", unknown), true), claimStep(newClaim("y", 1), recorded)}},
		{"a request that did not run may be claimed again", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", notRun), true), claimStep(newClaim("y", 1), granted)}},
		{"only the holder can record an outcome", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("y", done), false), claimStep(newClaim("z", 1), held)}},
		{"an outcome is recorded only once", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", unknown), true), recordStep(newRecord("x", done), false), recordStep(newRecord("x", unknown), true)}},
		{"an outcome without a claim", []step{recordStep(newRecord("x", done), false), claimStep(newClaim("y", 0), granted)}},
		{"a claim is delivered after it was given up", []step{recordStep(newRecord("x", notRun), true), claimStep(newClaim("x", 0), superseded), claimStep(newClaim("y", 0), granted)}},
		{"a claim is delivered again after its not-run outcome", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", notRun), true), claimStep(newClaim("x", 0), superseded)}},
		{"a claim is delivered again after the held verdict", []step{claimStep(newClaim("x", 0), granted), claimStep(newClaim("y", 0), held), recordStep(newRecord("x", notRun), true), claimStep(newClaim("y", 0), superseded)}},
		{"giving up one claim does not release another", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("y", notRun), true), claimStep(newClaim("z", 0), held)}},
		{"an earlier call is delivered after a later one ended", []step{claimStep(newClaim("y", 1), granted), recordStep(newRecord("y", notRun), true), claimStep(newClaim("x", 0), superseded)}},
		{"an earlier call is delivered after a later one closed", []step{claimStep(withClosing(newClaim("y", 1)), closed), claimStep(newClaim("x", 0), superseded), claimStep(newClaim("z", 2), granted)}},
		{"closing gets the recorded outcome", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", done), true), claimStep(withClosing(newClaim("y", 1)), recorded)}},
		{"closing does not wait for the holder", []step{claimStep(newClaim("x", 0), granted), claimStep(withClosing(newClaim("y", 1)), held)}},
		{"a different body digest", []step{claimStep(newClaim("x", 0), granted), claimStep(withBodyDigest(newClaim("y", 0), "c"), conflict)}},
		{"a different key time", []step{claimStep(newClaim("x", 0), granted), claimStep(withKeyTime(newClaim("y", 0), startMs+1), conflict)}},
		{"a key time too far in the future", []step{claimStep(withKeyTime(newClaim("x", 0), startMs+maxClockSkew.Milliseconds()+1), conflict)}},
		{"a retry after the key expired", []step{claimStep(newClaim("x", 0), granted), recordStep(newRecord("x", done), true), {nowMs: expiresMs}, claimStep(newClaim("y", 1), expired)}},
		{"an unknown key that has expired", []step{{nowMs: expiresMs}, claimStep(newClaim("x", 0), expired)}},
		{"giving up after the key expired", []step{{nowMs: expiresMs}, recordStep(newRecord("x", notRun), false)}},
		{"a held claim just before the key expires", []step{claimStep(newClaim("x", 0), granted), {nowMs: expiresMs - 1}, claimStep(newClaim("y", 1), held)}},
		{"the clock never moves back", []step{{nowMs: expiresMs}, {nowMs: startMs}, claimStep(newClaim("x", 0), expired)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			l.Advance(startMs)
			for i, s := range c.steps {
				runStep(t, l, i, s)
				// Restoring from a snapshot must not change any later decision.
				l = Restore(l.NowMs(), l.Claims())
			}
		})
	}
}

func runStep(t *testing.T, l *Ledger, index int, s step) {
	t.Helper()
	switch {
	case s.claim != nil:
		if got := l.Claim(s.claim).GetVerdict(); got != s.verdict {
			t.Fatalf("step %d: claim %s: %v, want %v", index, s.claim.GetClaimId(), got, s.verdict)
		}
	case s.record != nil:
		if got := l.Record(s.record).GetRecorded(); got != s.recorded {
			t.Fatalf("step %d: record %s accepted: %t, want %t", index, s.record.GetClaimId(), got, s.recorded)
		}
	default:
		l.Advance(s.nowMs)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	l := New()
	l.Advance(startMs)
	claimVerdict := func(tenant string, i int) wire.ClaimVerdict {
		claim := newClaim("x", 0)
		claim.Tenant = tenant
		claim.Key = fmt.Sprint(tenant, i)
		return l.Claim(claim).GetVerdict()
	}
	for i := range MaxTenantKeys {
		if got := claimVerdict("greedy", i); got != granted {
			t.Fatalf("key %d: %v", i, got)
		}
	}
	if got := claimVerdict("greedy", MaxTenantKeys); got != full {
		t.Errorf("key beyond the tenant's limit: %v", got)
	}
	if got := claimVerdict("greedy", 0); got != granted {
		t.Errorf("known key while the tenant is at its limit: %v", got)
	}
	if got := claimVerdict("other", 0); got != granted {
		t.Errorf("key of another tenant: %v", got)
	}
	for key, count := range map[string]int{"b": MaxTenantKeys, "c": MaxTenantKeys, "d": MaxTenantKeys - 1} {
		for i := range count {
			if got := claimVerdict(key, i); got != granted {
				t.Fatalf("tenant %s key %d: %v", key, i, got)
			}
		}
	}
	if got := claimVerdict("d", MaxTenantKeys); got != full {
		t.Errorf("key beyond the total limit: %v", got)
	}
	l.Advance(startMs + KeyTTL.Milliseconds())
	if len(l.Claims()) != 0 || len(l.keysPerTenant) != 0 || l.expiries.Len() != 0 {
		t.Errorf("after all keys expired: %d claims, %d tenants, %d expiries left", len(l.Claims()), len(l.keysPerTenant), l.expiries.Len())
	}
}

func TestLedgerDropsOldestGivenUp(t *testing.T) {
	l := New()
	l.Advance(startMs)
	for i := range 3 * maxGivenUpClaims {
		l.Record(newRecord(fmt.Sprint("x", i), wire.Outcome_OUTCOME_NOT_RUN))
	}
	givenUp := l.Claims()[0].GetGivenUp()
	if len(givenUp) != maxGivenUpClaims || givenUp[maxGivenUpClaims-1] != fmt.Sprint("x", 3*maxGivenUpClaims-1) {
		t.Errorf("%d given-up claims stored: %v", len(givenUp), givenUp)
	}
}

func newFilledLedger(size int) *Ledger {
	l := New()
	l.Advance(startMs)
	for i := range size {
		claim := newClaim(fmt.Sprintf("11111111-2222-3333-4444-%012d", i), 0)
		claim.Key = fmt.Sprintf("mailbox-restore-%08d", i)
		claim.Tenant = fmt.Sprint("tenant-", i%100)
		claim.BodyDigest = fmt.Sprintf("%064d", i)
		claim.RequestId = claim.GetClaimId()
		claim.KeyTimeMs += int64(i)
		l.Claim(claim)
		record := newRecord(claim.GetClaimId(), wire.Outcome_OUTCOME_ANSWERED)
		record.Key = claim.GetKey()
		l.Record(record)
	}
	return l
}

// BenchmarkLedger measures a clock advance with one claim at three ledger sizes, and reports the bytes per claim in a snapshot and on the heap.
func BenchmarkLedger(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 99_900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			empty := heapBytes()
			l := newFilledLedger(size)
			inMemory := float64(heapBytes()-empty) / float64(size)
			encoded := 0
			for _, state := range l.Claims() {
				encoded += proto.Size(state)
			}
			i := 0
			for b.Loop() {
				i++
				l.Advance(startMs + int64(i))
				request := newClaim("x", 0)
				request.Key = fmt.Sprint("fresh-", i%100)
				request.KeyTimeMs = startMs + time.Hour.Milliseconds()
				l.Claim(request)
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
