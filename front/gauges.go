package front

// registerGauges registers the gauges whose values are read at each scrape.
func (p *Process) registerGauges() {
	p.metrics.Gauge("processes_known", "Entry processes that are registered on the platform, gone or not.", func() float64 {
		return float64(p.gossip.RegisteredProcesses())
	})
	p.metrics.Gauge("processes_heard", "Entry processes that are not known to be gone.", func() float64 {
		return float64(p.gossip.LiveProcesses())
	})
	p.metrics.Gauge("gossip_lost", "Messages to other processes that could not be sent.", func() float64 {
		return float64(p.gossip.SendFailures())
	})
	p.metrics.Gauge("gossip_dropped", "Datagrams of other processes that were malformed or from unknown ones.",
		func() float64 { return float64(p.gossip.Dropped()) })
	p.metrics.Gauge("engines", "Engines in the registry.", func() float64 { return float64(p.roster.Len()) })
	p.metrics.Gauge("engines_age_seconds", "Time since the platform confirmed the registry as it is known here, negative if not known.",
		func() float64 {
			if age, ok := p.mirror.Age(p.engineSink.adapter.EnginesPrefix); ok {
				return age.Seconds()
			}
			return -1
		})
	p.metrics.Gauge("quarantines", "Traits of requests that are refused since they crash engines.",
		func() float64 { return float64(p.traits.Quarantined()) })
	p.metrics.Gauge("requests_in_flight", "Requests in flight.", func() float64 { return float64(p.inFlight.Load()) })
	p.metrics.Gauge("memory_held_bytes", "Memory that requests hold, of memory_limit_bytes.", func() float64 { return float64(p.memory.Used()) })
	p.metrics.Gauge("memory_limit_bytes", "Memory that requests may hold together.", func() float64 { return float64(p.memory.Limit()) })
	p.metrics.Gauge("heads_held_bytes", "Memory that heads hold whose requests have no room yet.", func() float64 { return float64(p.guard.Held()) })
	p.metrics.Gauge("connections_open", "Open connections of callers.", func() float64 { return float64(p.callers.Open()) })
	p.metrics.Gauge("config_version", "Version of the configuration in force.", p.configVersion)
	p.registerPathGauges()
	p.registerAccountGauges(p.engineSink.adapter.ConfigPrefix)
	p.registerPaceGauges()
}

// Gauge registers a gauge whose value is read at each scrape.
func (p *Process) Gauge(name, help string, read func() float64) {
	p.metrics.Gauge(name, help, read)
}
