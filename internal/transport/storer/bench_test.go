package storer

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

var claimCounts = []uint64{1_000, 10_000, 50_000, 100_000}

func checkBench(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func claimEntry(b *testing.B, index uint64) *wire.JournalEntry {
	b.Helper()
	payload, err := proto.Marshal(&wire.Command{
		TimeMs: int64(index),
		Change: &wire.Command_Claim{
			Claim: &wire.ClaimRequest{
				Service:    "mailbox-restore",
				Tenant:     fmt.Sprintf("tenant-%d", index%8),
				Key:        fmt.Sprintf("4fd0b3a2-7a64-4d0c-9d0f-%012d", index),
				ClaimId:    fmt.Sprintf("9be1c2d3-1111-4222-8333-%012d", index),
				RequestId:  fmt.Sprintf("request-%d", index),
				KeyTimeMs:  int64(index),
				BodyDigest: strings.Repeat("d", 64),
			},
		},
	})
	checkBench(b, err)
	return &wire.JournalEntry{
		Index:   index,
		Term:    1,
		Payload: payload,
	}
}

// BenchmarkRestart measures restoring the state for several numbers of claims, from entries alone and from a snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, claims := range claimCounts {
		for _, withSnapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("claims=%d/snapshot=%t", claims, withSnapshot), func(b *testing.B) {
				folder := filepath.Join(b.TempDir(), "data")
				snapshotSize := writeClaims(b, folder, claims, withSnapshot)
				for b.Loop() {
					s, saved, err := Open(folder)
					checkBench(b, err)
					state := applier.New()
					checkBench(b, state.Restore(saved.Snapshot.GetState()))
					for _, e := range saved.Entries {
						_, err := state.Apply(e)
						checkBench(b, err)
					}
					checkBench(b, s.Close())
				}
				b.ReportMetric(float64(snapshotSize), "bytes")
			})
		}
	}
}

// writeClaims stores the given number of claims and returns the size of the state's snapshot in bytes.
func writeClaims(b *testing.B, folder string, claims uint64, withSnapshot bool) int {
	b.Helper()
	checkBench(b, Form(folder, "control-1", nil))
	s, _, err := Open(folder)
	checkBench(b, err)
	state := applier.New()
	var entries []*wire.JournalEntry
	for index := range claims {
		entries = append(entries, claimEntry(b, index+1))
		_, err := state.Apply(entries[index])
		checkBench(b, err)
	}
	checkBench(b, s.Save(actions(entries...)))
	encoded, err := state.Snapshot()
	checkBench(b, err)
	if withSnapshot {
		checkBench(b, s.Save(journaler.Actions{
			Snapshot: &wire.JournalSnapshot{
				Index: claims,
				Term:  1,
				State: encoded,
			},
		}))
	}
	checkBench(b, s.Close())
	return len(encoded)
}

// BenchmarkSnapshot measures encoding the state of the claims and saving it as a snapshot. In a control instance both run outside the event loop.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range claimCounts {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			folder := filepath.Join(b.TempDir(), "data")
			writeClaims(b, folder, claims, true)
			s, saved, err := Open(folder)
			checkBench(b, err)
			state := applier.New()
			checkBench(b, state.Restore(saved.Snapshot.GetState()))
			for b.Loop() {
				encoded, err := state.Snapshot()
				checkBench(b, err)
				checkBench(b, s.Save(journaler.Actions{
					Snapshot: &wire.JournalSnapshot{
						Index: claims,
						Term:  1,
						State: encoded,
					},
				}))
			}
			checkBench(b, s.Close())
		})
	}
}

// BenchmarkEncode measures the part of BenchmarkSnapshot that encodes the state.
func BenchmarkEncode(b *testing.B) {
	for _, claims := range claimCounts {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			state := applier.New()
			for index := range claims {
				_, err := state.Apply(claimEntry(b, index+1))
				checkBench(b, err)
			}
			for b.Loop() {
				_, err := state.Snapshot()
				checkBench(b, err)
			}
		})
	}
}

// BenchmarkSave measures one synced write of a batch of entries.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			folder := filepath.Join(b.TempDir(), "data")
			checkBench(b, Form(folder, "control-1", nil))
			s, _, err := Open(folder)
			checkBench(b, err)
			index := uint64(0)
			for b.Loop() {
				var entries []*wire.JournalEntry
				for range batch {
					index++
					entries = append(entries, claimEntry(b, index))
				}
				checkBench(b, s.Save(actions(entries...)))
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
			checkBench(b, s.Close())
		})
	}
}
