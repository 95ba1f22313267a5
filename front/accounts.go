package front

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fresh"
	"github.com/buckthorntrack/buckthorntrack/keys"
	"github.com/buckthorntrack/buckthorntrack/mirror"
)

// newAccountStage returns the stage that checks keys by the configuration in force.
func (p *Process) newAccountStage(a Adapter, configs *configSink) *accountStage {
	return &accountStage{accountOptions: accountOptions{
		knowledge: p.known, format: a.Format, keys: p.keyPolicy(), listed: configs.listed, refused: p.metrics.keyRefused, log: p.log,
	}}
}

func (p *Process) keyPolicy() keys.Policy {
	return keys.Policy{WithdrawTime: p.settings.Accounts.WithdrawTime}
}

// newKnowledge returns what is known of the configuration that the feed brings.
func (p *Process) newKnowledge(configs *configSink, f mirror.Feed) *knowledge {
	return &knowledge{
		policy: fresh.New(p.settings.Routed.ApplyTime, f.UsualAge()), lost: &configs.lost,
		config: func() *config.Config { return p.config.Load() }, age: func() (time.Duration, bool) { return p.mirror.Age(f.Prefix) },
	}
}

// configFeed returns the feed of the configuration. Where keys are withdrawn within a time, its age is a proven bound.
func (p *Process) configFeed(a Adapter, configs *configSink) mirror.Feed {
	policy := p.keyPolicy()
	return mirror.Feed{
		Name: "configuration", Prefix: a.ConfigPrefix, Sink: configs, Keep: configs.keep, Rewrite: a.DigestKeys,
		WatchTimeout:      policy.WatchTimeout(watchTimeout),
		FirstWatchTimeout: policy.WatchTimeout(firstWatchTimeout(p.settings.Routed)),
		SearchAge:         policy.SearchAge(),
	}
}

// registerAccountGauges registers the gauges on the age of the configuration and the search for a newer one.
func (p *Process) registerAccountGauges(prefix string) {
	p.metrics.Gauge("config_age_seconds", "Time since the configuration was the platform's, negative if not known.", func() float64 {
		if age, ok := p.mirror.Age(prefix); ok {
			return age.Seconds()
		}
		return -1
	})
	p.metrics.Gauge("config_search_rounds", "Rounds of questions to other processes for a newer configuration.", func() float64 {
		return float64(p.mirror.SearchCounts().Rounds)
	})
	p.metrics.Gauge("config_search_answers", "Answers of other processes to these questions.", func() float64 {
		return float64(p.mirror.SearchCounts().Answers)
	})
	p.metrics.Gauge("config_search_reads", "Reads of the platform in these rounds.", func() float64 {
		return float64(p.mirror.SearchCounts().Reads)
	})
}
