package gossip

// Values of wire.LoadMessage.Kind.
const (
	kindHeartbeat int64 = iota
	kindStarted
	kindPrefilled
	kindEnded
	kindUnavailable
	kindAsk
	kindTold
	kindRunBroke
	kindCompleted
	kindAskCompleted
	kindQuarantine
	kindLimit
	kindStream
	kindDrained
	kindAskStream
	kindStreamAnswer
	kindUsage
	kindDemand
)
