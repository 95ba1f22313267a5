package front

import (
	"slices"

	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// announceVersion tells the processes that usually read the platform about a version.
func (p *Process) announceVersion(prefix string, version int64) {
	p.gossip.AnnounceVersion(prefix, version, p.readers())
}

// readers returns the processes that usually read the platform, the first of the fleet before the others. Their duties pass on while
// they are gone.
func (p *Process) readers() []units.ProcessName {
	var names []units.ProcessName
	for _, m := range mirror.FirstOfRegions(p.memberSink.present()) {
		names = append(names, m.Name)
	}
	return names
}

// isFirstOfFleet reports whether this process is the first of the whole fleet.
func (p *Process) isFirstOfFleet() bool {
	readers := p.readers()
	return len(readers) > 0 && readers[0] == p.settings.Process.Name
}

// isReader reports whether this process usually reads the platform.
func (p *Process) isReader() bool {
	return slices.Contains(p.readers(), p.settings.Process.Name)
}

// registeredNames returns the names of all registered processes, with this one. One that is gone may come back with its streams.
func (p *Process) registeredNames() []units.ProcessName {
	names := []units.ProcessName{p.settings.Process.Name}
	for _, m := range p.memberSink.registered() {
		if m.Name != p.settings.Process.Name {
			names = append(names, m.Name)
		}
	}
	return names
}
