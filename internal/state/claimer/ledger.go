package claimer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// KeyTTL is how long after its key time a key is accepted and stored.
	KeyTTL = 24 * time.Hour
	// MaxKeys is the maximum number of stored keys.
	MaxKeys = 100_000
	// MaxTenantKeys is the maximum number of stored keys of one tenant.
	MaxTenantKeys = MaxKeys / 4
	// maxClockSkew is how far a key time may lie ahead of the journal's clock.
	maxClockSkew = 5 * time.Minute
	// maxGivenUpClaims is the maximum number of given-up claims stored for one key.
	maxGivenUpClaims = 32
)

type claimKey struct {
	service string
	key     string
}

// Ledger stores the claim state of every key that has not expired. Its clock is the latest time of an applied journal command, so all replicas expire the same keys. It is not safe for concurrent use.
type Ledger struct {
	nowMs         int64
	claims        map[claimKey]*wire.ClaimState
	expiries      expiries
	keysPerTenant map[string]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		claims:        map[claimKey]*wire.ClaimState{},
		keysPerTenant: map[string]int{},
	}
}

// Restore returns a ledger with the time and the claims of a snapshot.
func Restore(nowMs int64, claims []*wire.ClaimState) *Ledger {
	l := New()
	l.nowMs = nowMs
	for _, state := range claims {
		l.insert(state)
	}
	return l
}

// Advance moves the journal's clock forward, never back, and removes expired keys.
func (l *Ledger) Advance(nowMs int64) {
	if nowMs <= l.nowMs {
		return
	}
	l.nowMs = nowMs
	for key, ok := l.expiries.popExpired(nowMs); ok; key, ok = l.expiries.popExpired(nowMs) {
		l.remove(key)
	}
}

// NowMs returns the journal's clock in Unix milliseconds.
func (l *Ledger) NowMs() int64 { return l.nowMs }

// Claims returns the claims sorted by service and key.
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

// Claim decides whether the caller may dispatch the request under its key.
func (l *Ledger) Claim(request *wire.ClaimRequest) *wire.ClaimResponse {
	if expiresAtMs(request.GetKeyTimeMs()) <= l.nowMs {
		return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED, "the key's window has passed")
	}
	if request.GetKeyTimeMs() > l.nowMs+maxClockSkew.Milliseconds() {
		return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT, "the key's time lies in the future")
	}
	state, ok := l.claims[newClaimKey(request.GetService(), request.GetKey())]
	if !ok {
		if !l.hasCapacity(request.GetTenant()) {
			return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_FULL, "too many keys are held")
		}
		state = l.addUnclaimed(request)
	}
	claim := state.GetClaim()
	if claim.GetBodyDigest() != request.GetBodyDigest() || claim.GetKeyTimeMs() != request.GetKeyTimeMs() {
		return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT, "the key was used for another request")
	}
	return decideClaim(state, request)
}

func decideClaim(state *wire.ClaimState, request *wire.ClaimRequest) *wire.ClaimResponse {
	switch state.GetOutcome() {
	case wire.Outcome_OUTCOME_UNSPECIFIED:
		state.Call = max(state.GetCall(), request.GetCall())
		if state.GetClaim().GetClaimId() == request.GetClaimId() {
			return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
		}
		// The call ends with this verdict, so its claim must not be granted if it is delivered again.
		markGivenUp(state, request.GetClaimId())
		return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_HELD, "the request is claimed and has no outcome yet")
	case wire.Outcome_OUTCOME_NOT_RUN:
		return decideUnclaimed(state, request)
	default:
		return &wire.ClaimResponse{
			Verdict: wire.ClaimVerdict_CLAIM_VERDICT_RECORDED,
			Outcome: state.GetOutcome(),
			Result:  state.GetResult(),
		}
	}
}

// decideUnclaimed decides a claim to a key that no claim holds and under which nothing has run.
func decideUnclaimed(state *wire.ClaimState, request *wire.ClaimRequest) *wire.ClaimResponse {
	if request.GetCall() < state.GetCall() || slices.Contains(state.GetGivenUp(), request.GetClaimId()) {
		return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_SUPERSEDED, "the call was given up, or a later call of the key came first")
	}
	state.Call = request.GetCall()
	if request.GetClosing() {
		markGivenUp(state, request.GetClaimId())
		return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_CLOSED, "")
	}
	tenant := state.GetClaim().GetTenant()
	state.Claim = proto.CloneOf(request)
	// The key still counts towards the limit of the tenant that first used it.
	state.Claim.Tenant = tenant
	state.Outcome = wire.Outcome_OUTCOME_UNSPECIFIED
	state.Result = ""
	return claimResponse(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
}

// Record stores the outcome of a claim. Only the holder of the key can record an outcome, and only once; a repeat of the same outcome is confirmed. A not-run outcome also marks the claim as given up, even if it does not hold the key.
func (l *Ledger) Record(request *wire.RecordRequest) *wire.RecordResponse {
	state, ok := l.claims[newClaimKey(request.GetService(), request.GetKey())]
	if !ok {
		return recordResponse(l.recordBeforeClaim(request))
	}
	if state.GetClaim().GetClaimId() != request.GetClaimId() {
		return recordResponse(recordGivenUp(state, request))
	}
	if state.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		state.Outcome = request.GetOutcome()
		state.Result = request.GetResult()
		recordGivenUp(state, request)
	}
	return recordResponse(state.GetOutcome() == request.GetOutcome())
}

// recordBeforeClaim stores a given-up mark under an unknown key, so that the claim is refused if it arrives later.
func (l *Ledger) recordBeforeClaim(request *wire.RecordRequest) bool {
	if request.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN || expiresAtMs(request.GetKeyTimeMs()) <= l.nowMs || !l.hasCapacity(request.GetTenant()) {
		return false
	}
	state := l.addUnclaimed(&wire.ClaimRequest{
		Service:    request.GetService(),
		Key:        request.GetKey(),
		Tenant:     request.GetTenant(),
		KeyTimeMs:  request.GetKeyTimeMs(),
		BodyDigest: request.GetBodyDigest(),
	})
	return recordGivenUp(state, request)
}

// recordGivenUp marks the claim as given up if its outcome is not-run, whether or not it holds the key, and reports whether it did.
func recordGivenUp(state *wire.ClaimState, request *wire.RecordRequest) bool {
	if request.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	markGivenUp(state, request.GetClaimId())
	return true
}

// markGivenUp stores the claim among the newest given-up claims of the key. Dropping an old one can leave the key held, but never lets a request run twice.
func markGivenUp(state *wire.ClaimState, claimID string) {
	if slices.Contains(state.GetGivenUp(), claimID) {
		return
	}
	state.GivenUp = append(state.GetGivenUp(), claimID)
	if excess := len(state.GetGivenUp()) - maxGivenUpClaims; excess > 0 {
		state.GivenUp = slices.Clone(state.GetGivenUp()[excess:])
	}
}

// addUnclaimed adds a key that no claim holds.
func (l *Ledger) addUnclaimed(request *wire.ClaimRequest) *wire.ClaimState {
	claim := proto.CloneOf(request)
	claim.ClaimId = ""
	state := &wire.ClaimState{
		Claim:     claim,
		Outcome:   wire.Outcome_OUTCOME_NOT_RUN,
		ExpiresMs: expiresAtMs(request.GetKeyTimeMs()),
	}
	l.insert(state)
	return state
}

func (l *Ledger) insert(state *wire.ClaimState) {
	claim := state.GetClaim()
	key := newClaimKey(claim.GetService(), claim.GetKey())
	l.claims[key] = state
	l.expiries.add(key, state.GetExpiresMs())
	l.keysPerTenant[claim.GetTenant()]++
}

func (l *Ledger) remove(key claimKey) {
	tenant := l.claims[key].GetClaim().GetTenant()
	delete(l.claims, key)
	l.keysPerTenant[tenant]--
	if l.keysPerTenant[tenant] == 0 {
		delete(l.keysPerTenant, tenant)
	}
}

func (l *Ledger) hasCapacity(tenant string) bool {
	return len(l.claims) < MaxKeys && l.keysPerTenant[tenant] < MaxTenantKeys
}

func expiresAtMs(keyTimeMs int64) int64 { return keyTimeMs + KeyTTL.Milliseconds() }

func newClaimKey(service, key string) claimKey {
	return claimKey{
		service: service,
		key:     key,
	}
}

func claimResponse(verdict wire.ClaimVerdict, reason string) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Verdict: verdict,
		Reason:  reason,
	}
}

func recordResponse(isRecorded bool) *wire.RecordResponse {
	return &wire.RecordResponse{
		Recorded: isRecorded,
	}
}
