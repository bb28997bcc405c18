package ownershipsuite_test

import (
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/sim/ownershipsuite"
)

// A small fleet preserves every session under salvage and ends those of the lost partitions under end-sessions.
func TestSalvagePreservesSessionsThatEndSessionsRebuilds(t *testing.T) {
	rows := ownershipsuite.MeasureSalvage(ownershipsuite.SalvageOptions{Fronts: 24, Zones: 3, Sessions: 2400})
	if len(rows) != 6 {
		t.Fatalf("%d rows", len(rows))
	}
	for _, row := range rows {
		if row.RegisteredAtLost == 0 || row.Unregistered != 0 || row.Duplicated != 0 {
			t.Errorf("%+v", row)
		}
		if row.Policy == "salvage" && row.Rebuilt != 0 {
			t.Errorf("salvage rebuilt %d sessions", row.Rebuilt)
		}
		if row.Policy == "end-sessions" && row.Rebuilt < row.RegisteredAtLost {
			t.Errorf("end-sessions rebuilt %d of %d sessions", row.Rebuilt, row.RegisteredAtLost)
		}
	}
	var text strings.Builder
	if err := ownershipsuite.WriteSalvage(&text, rows); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
}

// BenchmarkSalvageAtSize prints the table of docs/SALVAGE.md.
func BenchmarkSalvageAtSize(b *testing.B) {
	for range b.N {
		var text strings.Builder
		if err := ownershipsuite.WriteSalvage(&text,
			ownershipsuite.MeasureSalvage(ownershipsuite.SalvageOptions{})); err != nil {
			b.Fatal(err)
		}
		b.Log("\n" + text.String())
	}
}
