package front

import (
	"fmt"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/units"
)

func parseRegions(texts []string) (map[units.PlaceName]units.RegionName, error) {
	regions := make(map[units.PlaceName]units.RegionName, len(texts))
	for _, text := range texts {
		place, region, ok := strings.Cut(text, ":")
		if !ok {
			return nil, fmt.Errorf("setting regions of [routed]: %q is not of the form zone:region", text)
		}
		regions[units.PlaceName(place)] = units.RegionName(region)
	}
	return regions, nil
}
