package cataloger_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// BenchmarkConfirm measures the cost of a change and the size of the configuration per tenant, by the number
// of tenants with a limit.
func BenchmarkConfirm(b *testing.B) {
	for _, tenants := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			config := &wire.Config{
				Revision: 1,
			}
			for i := range tenants {
				config.Tenants = append(config.Tenants, tenantLimit(i))
			}
			c := cataloger.Restore(config, nil)
			for i := 0; b.Loop(); i++ {
				intent := &wire.Intent{
					Change: &wire.Intent_SetTenantLimit{
						SetTenantLimit: tenantLimit(i % tenants),
					},
				}
				revision := c.Config().GetRevision()
				response := c.Confirm(&wire.ConfirmRequest{
					ConfirmId: fmt.Sprintf("change-%d", i),
					Intent:    intent,
					Revision:  revision,
					Digest:    cataloger.Digest(intent, revision),
				})
				if !response.GetAccepted() {
					b.Fatal(response)
				}
			}
			b.ReportMetric(float64(proto.Size(c.Config()))/float64(tenants), "config-B/tenant")
		})
	}
}

func tenantLimit(i int) *wire.TenantLimit {
	return &wire.TenantLimit{
		Tenant:            fmt.Sprintf("tenant-%05d", i),
		RequestsPerSecond: float64(i%100 + 1),
		Burst:             10,
	}
}
