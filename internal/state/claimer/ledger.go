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
	// maxSkew is how far ahead of the journal's clock a key time may lie.
	maxSkew = 5 * time.Minute
)

type claimKey struct {
	service string
	key     string
}

// Ledger is every claim whose window has not passed by the journal's clock.
type Ledger struct {
	nowMs  int64
	claims map[claimKey]*wire.ClaimState
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		claims: map[claimKey]*wire.ClaimState{},
	}
}

// Restore returns the ledger that a snapshot holds.
func Restore(nowMs int64, claims []*wire.ClaimState) *Ledger {
	l := New()
	l.nowMs = nowMs
	for _, state := range claims {
		l.claims[keyOf(state.GetClaim().GetService(), state.GetClaim().GetKey())] = state
	}
	return l
}

// Advance moves the journal's clock on, never back, and drops what has expired.
func (l *Ledger) Advance(nowMs int64) {
	if nowMs <= l.nowMs {
		return
	}
	l.nowMs = nowMs
	for key, state := range l.claims {
		if state.GetExpiresMs() <= l.nowMs {
			delete(l.claims, key)
		}
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
	expires := ask.GetKeyTimeMs() + Window.Milliseconds()
	if expires <= l.nowMs {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED, "the key's window has passed")
	}
	if ask.GetKeyTimeMs() > l.nowMs+maxSkew.Milliseconds() {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT, "the key's time lies in the future")
	}
	key := keyOf(ask.GetService(), ask.GetKey())
	known, ok := l.claims[key]
	if !ok {
		l.claims[key] = &wire.ClaimState{
			Claim:     proto.CloneOf(ask),
			ExpiresMs: expires,
		}
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
	}
	return l.claimAgain(known, ask)
}

func (l *Ledger) claimAgain(known *wire.ClaimState, ask *wire.ClaimRequest) *wire.ClaimResponse {
	held := known.GetClaim()
	if held.GetBodyDigest() != ask.GetBodyDigest() || held.GetKeyTimeMs() != ask.GetKeyTimeMs() {
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT, "the key was used for another request")
	}
	switch known.GetOutcome() {
	case wire.Outcome_OUTCOME_UNSPECIFIED:
		if held.GetClaimId() == ask.GetClaimId() {
			return verdict(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
		}
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_HELD, "the request is claimed and has no outcome yet")
	case wire.Outcome_OUTCOME_NOT_RUN:
		known.Claim = proto.CloneOf(ask)
		known.Outcome = wire.Outcome_OUTCOME_UNSPECIFIED
		known.Result = ""
		return verdict(wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, "")
	default:
		return &wire.ClaimResponse{
			Verdict: wire.ClaimVerdict_CLAIM_VERDICT_RECORDED,
			Outcome: known.GetOutcome(),
			Result:  known.GetResult(),
		}
	}
}

// Record ends a claim with its outcome; only the claim's holder can, and only once.
func (l *Ledger) Record(ask *wire.RecordRequest) *wire.RecordResponse {
	known, ok := l.claims[keyOf(ask.GetService(), ask.GetKey())]
	if !ok || known.GetClaim().GetClaimId() != ask.GetClaimId() {
		return &wire.RecordResponse{}
	}
	if known.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		known.Outcome = ask.GetOutcome()
		known.Result = ask.GetResult()
	}
	return &wire.RecordResponse{
		Recorded: known.GetOutcome() == ask.GetOutcome(),
	}
}

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
