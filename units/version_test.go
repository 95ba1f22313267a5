package units_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestVersionsOfALaterEraAreNewer checks that versions are ordered by era before revision.
func TestVersionsOfALaterEraAreNewer(t *testing.T) {
	ordered := []units.Version{
		0, units.Version(1), units.Version(900), units.Version(3).In(1), units.Version(901).In(1), units.Version(1).In(2),
		units.Version(1).In(units.MaxEra),
	}
	assert.Assert(t, slices.IsSorted(ordered))
	tests := []struct {
		name     string
		version  units.Version
		era      units.Era
		revision int64
	}{
		{name: "no era", version: 7, revision: 7},
		{name: "later era", version: units.Version(7).In(4), era: 4, revision: 7},
		{name: "another era", version: units.Version(7).In(9).In(2), era: 2, revision: 7},
		{name: "absent", version: units.Version(0).In(3)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.version.Era(), tt.era)
			assert.Equal(t, tt.version.Revision(), tt.revision)
		})
	}
}
