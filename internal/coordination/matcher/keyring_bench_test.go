package matcher

import (
	"fmt"
	"testing"
)

// BenchmarkFindByKey measures the lookup of a key among those of 83 and of 1,000 organisations with three keys each.
func BenchmarkFindByKey(b *testing.B) {
	for _, organisations := range []int{83, 1000} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			var holders []KeyHolder
			for i := range organisations {
				holders = append(holders, KeyHolder{
					Organisation: Organisation{
						Name: fmt.Sprint(i),
					},
					Keys: []string{fmt.Sprintf("key-%d-1", i), fmt.Sprintf("key-%d-2", i), fmt.Sprintf("key-%d-3", i)},
				})
			}
			keyring, err := NewKeyring(holders)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if keyring.FindByKey("key-70-2") == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
