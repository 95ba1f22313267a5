package head

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// pollInterval is the time between two reads of the head by a process that does not watch it.
	pollInterval = 30 * time.Second
	// watcherCheck is how often a process looks whether it has become a watcher.
	watcherCheck = time.Second
)

// State is a configuration in force with its files.
type State struct {
	Config *config.Config
	Files  []config.File
}

// Follower keeps the newest good configuration that it has heard of. Its revision never goes back.
type Follower struct {
	store   plat.Store
	watches func() bool // whether this process watches the head
	log     zerolog.Logger
	state   atomic.Pointer[State]
	refused atomic.Int64

	mu        sync.Mutex
	listeners []func(*config.Config)
	bad       units.Revision // newest revision that was refused
}

// NewFollower returns a follower without a configuration.
func NewFollower(store plat.Store, watches func() bool, log zerolog.Logger) *Follower {
	f := &Follower{store: store, watches: watches, log: log}
	f.state.Store(&State{Config: config.Empty()})
	return f
}

// OnChange registers a function that is called with each new configuration before it is in force.
// It must be called before Run.
func (f *Follower) OnChange(listener func(*config.Config)) {
	f.listeners = append(f.listeners, listener)
}

// Config returns the configuration in force.
func (f *Follower) Config() *config.Config {
	return f.state.Load().Config
}

// Refused returns the number of configurations that were refused.
func (f *Follower) Refused() int64 {
	return f.refused.Load()
}

// Revision returns the revision in force.
func (f *Follower) Revision() units.Revision {
	return f.Config().Revision
}

// Folder returns the files in force.
func (f *Follower) Folder() wire.Folder {
	state := f.state.Load()
	folder := wire.Folder{Revision: int64(state.Config.Revision)}
	for _, file := range state.Files {
		folder.Files = append(folder.Files, wire.FolderFile{Name: file.Name, Text: file.Text})
	}
	return folder
}

// Offer takes a configuration from a peer.
func (f *Follower) Offer(folder wire.Folder) {
	files := make([]config.File, 0, len(folder.Files))
	for _, file := range folder.Files {
		files = append(files, config.File{Name: file.Name, Text: file.Text})
	}
	config.SortFiles(files)
	f.adopt(units.Revision(folder.Revision), files, "peer")
}

// Run follows the head until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version := units.Version(0)
	for attempt := 0; ctx.Err() == nil; {
		next, err := f.step(ctx, version)
		if err != nil {
			f.log.Debug().Err(err).Msg("config: platform cannot be read")
			wait.Sleep(ctx, wait.Backoff(attempt))
			attempt++
			version = 0
			continue
		}
		attempt = 0
		version = next
	}
}

// step reads the head at the start, and then waits for its next change.
func (f *Follower) step(ctx context.Context, version units.Version) (units.Version, error) {
	if version == 0 {
		h, object, err := read(ctx, f.store)
		if err != nil {
			return 0, err
		}
		return max(object.Version, 1), f.follow(ctx, h, object)
	}
	if !f.watches() {
		return f.rest(ctx, version), nil
	}
	change, err := f.store.Watch(ctx, Key, version)
	if err != nil {
		return 0, err
	}
	for _, object := range change.Objects {
		var h Head
		if err := object.Decode(&h); err != nil {
			return 0, err
		}
		if err := f.follow(ctx, h, object); err != nil {
			return 0, err
		}
	}
	return max(change.Version, version), nil
}

// rest waits until the process becomes a watcher, or until the next poll, which version zero asks for.
func (f *Follower) rest(ctx context.Context, version units.Version) units.Version {
	for waited := time.Duration(0); waited < pollInterval; waited += watcherCheck {
		if !wait.Sleep(ctx, watcherCheck) {
			return version
		}
		if f.watches() {
			break
		}
	}
	return 0
}

// follow adopts a newer head, and brings an older one, of a restored platform, up to date.
func (f *Follower) follow(ctx context.Context, h Head, object plat.Object) error {
	state := f.state.Load()
	switch {
	case h.Revision > state.Config.Revision:
		known := map[Hash]string{}
		for _, file := range state.Files {
			known[HashOf(file.Text)] = file.Text
		}
		files, err := fetch(ctx, f.store, h, known)
		if err != nil {
			return err
		}
		f.adopt(h.Revision, files, "platform")
	case h.Revision < state.Config.Revision:
		return f.heal(ctx, object, state)
	}
	return nil
}

// heal writes the configuration in force to a platform that has an older one.
func (f *Follower) heal(ctx context.Context, object plat.Object, state *State) error {
	f.log.Warn().Int64("revision", int64(state.Config.Revision)).Msg("config: platform has an older revision and gets this one")
	err := write(ctx, f.store, object, state.Config.Revision, state.Files)
	if errors.Is(err, plat.ErrConflict) {
		return nil
	}
	return err
}

// adopt puts a newer configuration in force after it was checked whole.
func (f *Follower) adopt(revision units.Revision, files []config.File, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.Revision() || revision == f.bad {
		return
	}
	built, _, err := config.Build(revision, files)
	if err != nil {
		f.bad = revision
		f.refused.Add(1)
		f.log.Error().Int64("revision", int64(revision)).Str("source", source).Err(err).
			Msg("config: revision is refused and the last good one stays")
		return
	}
	for _, listener := range f.listeners {
		listener(built)
	}
	f.state.Store(&State{Config: built, Files: files})
	f.log.Info().Int64("revision", int64(revision)).Str("source", source).Msg("config: revision is in force")
}
