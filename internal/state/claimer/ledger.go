package claimer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// Window is how long after its key time a key may be sent.
	Window = 24 * time.Hour
	// MaxKeys is the number of keys held at most.
	MaxKeys = 100_000
	// MaxTenantKeys is the number of keys held for one tenant at most.
	MaxTenantKeys = MaxKeys / 4
	// maxSkew is how far ahead of the journal's clock a key time may lie.
	maxSkew = 5 * time.Minute
	// maxGivenUp is the number of given-up claims remembered for one key.
	maxGivenUp = 32
)

type claimKey struct {
	service string
	key     string
}

// Ledger is every key whose window has not passed by the journal's clock; it is not safe for concurrent use.
type Ledger struct {
	nowMs    int64
	claims   map[claimKey]*wire.ClaimState
	expiries expiries
	tenants  map[string]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		claims:  map[claimKey]*wire.ClaimState{},
		tenants: map[string]int{},
	}
}

// Restore returns the ledger that a snapshot holds.
func Restore(nowMs int64, claims []*wire.ClaimState) *Ledger {
	l := New()
	l.nowMs = nowMs
	for _, state := range claims {
		l.keep(state)
	}
	return l
}

// Advance moves the journal's clock on, never back, and drops what has expired.
func (l *Ledger) Advance(nowMs int64) {
	if nowMs <= l.nowMs {
		return
	}
	l.nowMs = nowMs
	for key, ok := l.expiries.takePassed(nowMs); ok; key, ok = l.expiries.takePassed(nowMs) {
		l.drop(key)
	}
}

// NowMs returns the journal's clock in Unix milliseconds.
func (l *Ledger) NowMs() int64 { return l.nowMs }

// Claims returns the claims in the order of their service and key.
func (l *Ledger) Claims() []*wire.ClaimState {
	claims := make([]*wire.ClaimState, 0, len(l.claims))
	for _, state := range l.claims {
		claims = append(claims, state)
	}
	slices.SortFunc(claims, func(a, b *wire.ClaimState) int {
		return cmp.Or(
			cmp.Compare(a.GetClaim().GetService(), b.GetClaim().GetService()),
			cmp.Compare(a.GetClaim().GetKey(), b.GetClaim().GetKey()),
		)
	})
	return claims
}

// Claim decides who may dispatch the request under a key.
func (l *Ledger) Claim(ask *wire.ClaimRequest) *wire.ClaimResponse {
	if expiryOf(ask.GetKeyTimeMs()) <= l.nowMs {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED, "the key's window has passed")
	}
	if ask.GetKeyTimeMs() > l.nowMs+maxSkew.Milliseconds() {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT, "the key's time lies in the future")
	}
	known, ok := l.claims[keyOf(ask.GetService(), ask.GetKey())]
	if !ok {
		if !l.hasRoom(ask.GetTenant()) {
			return verdict(wire.ClaimVerdict_CLAIM_VERDICT_FULL, "too many keys are held")
		}
		known = l.open(ask)
	}
	held := known.GetClaim()
	if held.GetBodyDigest() != ask.GetBodyDigest() || held.GetKeyTimeMs() != ask.GetKeyTimeMs() {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT, "the key was used for another request")
	}
	return decide(known, ask)
}

func decide(known *wire.ClaimState, ask *wire.ClaimRequest) *wire.ClaimResponse {
	switch known.GetOutcome() {
	case wire.Outcome_OUTCOME_UNSPECIFIED:
		known.Call = max(known.GetCall(), ask.GetCall())
		if known.GetClaim().GetClaimId() == ask.GetClaimId() {
			return verdict(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
		}
		// A call that is told so ends; its claim must not be granted when it lands again.
		giveUp(known, ask.GetClaimId())
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_HELD, "the request is claimed and has no outcome yet")
	case wire.Outcome_OUTCOME_NOT_RUN:
		return decideFree(known, ask)
	default:
		return &wire.ClaimResponse{
			Verdict: wire.ClaimVerdict_CLAIM_VERDICT_RECORDED,
			Outcome: known.GetOutcome(),
			Result:  known.GetResult(),
		}
	}
}

// decideFree decides on a claim to a key that nobody holds and nothing has run under.
func decideFree(known *wire.ClaimState, ask *wire.ClaimRequest) *wire.ClaimResponse {
	if ask.GetCall() < known.GetCall() || slices.Contains(known.GetGivenUp(), ask.GetClaimId()) {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_SUPERSEDED, "the call was given up, or a later call of the key came first")
	}
	known.Call = ask.GetCall()
	if ask.GetClosing() {
		giveUp(known, ask.GetClaimId())
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_CLOSED, "")
	}
	tenant := known.GetClaim().GetTenant()
	known.Claim = proto.CloneOf(ask)
	// The key stays counted for the tenant that opened it.
	known.Claim.Tenant = tenant
	known.Outcome = wire.Outcome_OUTCOME_UNSPECIFIED
	known.Result = ""
	return verdict(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
}

// Record ends a claim with its outcome; only the claim's holder can, and only once.
func (l *Ledger) Record(ask *wire.RecordRequest) *wire.RecordResponse {
	known, ok := l.claims[keyOf(ask.GetService(), ask.GetKey())]
	if !ok {
		return recorded(l.recordBeforeClaim(ask))
	}
	if known.GetClaim().GetClaimId() != ask.GetClaimId() {
		return recorded(recordAside(known, ask))
	}
	if known.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		known.Outcome = ask.GetOutcome()
		known.Result = ask.GetResult()
		recordAside(known, ask)
	}
	return recorded(known.GetOutcome() == ask.GetOutcome())
}

// recordBeforeClaim leaves a given-up claim's mark under a key that is not known yet.
func (l *Ledger) recordBeforeClaim(ask *wire.RecordRequest) bool {
	if ask.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN || expiryOf(ask.GetKeyTimeMs()) <= l.nowMs || !l.hasRoom(ask.GetTenant()) {
		return false
	}
	known := l.open(&wire.ClaimRequest{
		Service:    ask.GetService(),
		Key:        ask.GetKey(),
		Tenant:     ask.GetTenant(),
		KeyTimeMs:  ask.GetKeyTimeMs(),
		BodyDigest: ask.GetBodyDigest(),
	})
	return recordAside(known, ask)
}

// recordAside notes that a claim was given up, whoever holds the key; it reports whether that is so.
func recordAside(known *wire.ClaimState, ask *wire.RecordRequest) bool {
	if ask.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	giveUp(known, ask.GetClaimId())
	return true
}

// giveUp remembers the newest given-up claims; forgetting one can leave a key held, and never runs it twice.
func giveUp(known *wire.ClaimState, claimID string) {
	if slices.Contains(known.GetGivenUp(), claimID) {
		return
	}
	known.GivenUp = append(known.GetGivenUp(), claimID)
	if extra := len(known.GetGivenUp()) - maxGivenUp; extra > 0 {
		known.GivenUp = slices.Clone(known.GetGivenUp()[extra:])
	}
}

// open adds a key that nobody holds.
func (l *Ledger) open(ask *wire.ClaimRequest) *wire.ClaimState {
	claim := proto.CloneOf(ask)
	claim.ClaimId = ""
	state := &wire.ClaimState{
		Claim:     claim,
		Outcome:   wire.Outcome_OUTCOME_NOT_RUN,
		ExpiresMs: expiryOf(ask.GetKeyTimeMs()),
	}
	l.keep(state)
	return state
}

func (l *Ledger) keep(state *wire.ClaimState) {
	claim := state.GetClaim()
	key := keyOf(claim.GetService(), claim.GetKey())
	l.claims[key] = state
	l.expiries.add(key, state.GetExpiresMs())
	l.tenants[claim.GetTenant()]++
}

func (l *Ledger) drop(key claimKey) {
	tenant := l.claims[key].GetClaim().GetTenant()
	delete(l.claims, key)
	l.tenants[tenant]--
	if l.tenants[tenant] == 0 {
		delete(l.tenants, tenant)
	}
}

func (l *Ledger) hasRoom(tenant string) bool {
	return len(l.claims) < MaxKeys && l.tenants[tenant] < MaxTenantKeys
}

func expiryOf(keyTimeMs int64) int64 { return keyTimeMs + Window.Milliseconds() }

func keyOf(service, key string) claimKey {
	return claimKey{
		service: service,
		key:     key,
	}
}

func verdict(v wire.ClaimVerdict, reason string) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Verdict: v,
		Reason:  reason,
	}
}

func recorded(yes bool) *wire.RecordResponse {
	return &wire.RecordResponse{
		Recorded: yes,
	}
}
