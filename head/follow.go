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
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// pollInterval is the time between reads of the head by a process that is not a watcher.
	pollInterval = 30 * time.Second
	// watcherCheckInterval is the time between checks whether the process has become a watcher.
	watcherCheckInterval = time.Second
)

// State is a configuration together with the files that it was built from.
type State struct {
	Config *config.Config
	Files  []config.File
}

// Follower takes configurations from the platform and from peers, and keeps the newest valid one in force. The revision
// in force never decreases.
type Follower struct {
	store     objapi.Store
	isWatcher func() bool // whether this process watches the head instead of polling it
	log       zerolog.Logger
	state     atomic.Pointer[State]
	refused   atomic.Int64 // revisions refused because they did not pass the check
	heard     atomic.Int64 // newest revision that a peer has in force

	mu          sync.Mutex
	listeners   []func(*config.Config)
	lastRefused units.Revision
}

// NewFollower returns a Follower with an empty configuration of revision zero.
func NewFollower(store objapi.Store, isWatcher func() bool, log zerolog.Logger) *Follower {
	f := &Follower{store: store, isWatcher: isWatcher, log: log}
	f.state.Store(&State{Config: config.Empty()})
	return f
}

// OnChange registers a function that is called with each new configuration right before it comes into force.
// It must be called before Run.
func (f *Follower) OnChange(listener func(*config.Config)) {
	f.listeners = append(f.listeners, listener)
}

// Config returns the configuration in force.
func (f *Follower) Config() *config.Config {
	return f.state.Load().Config
}

// Refused returns the number of revisions that did not pass the check.
func (f *Follower) Refused() int64 {
	return f.refused.Load()
}

// Revision returns the revision in force.
func (f *Follower) Revision() units.Revision {
	return f.Config().Revision
}

// Heard records the revision that a peer has in force.
func (f *Follower) Heard(revision units.Revision) {
	for {
		newest := f.heard.Load()
		if int64(revision) <= newest || f.heard.CompareAndSwap(newest, int64(revision)) {
			return
		}
	}
}

// IsOutdated reports whether a peer has a newer revision in force, unless that did not pass the check here.
func (f *Follower) IsOutdated(revision units.Revision) bool {
	newest := units.Revision(f.heard.Load())
	if newest <= revision {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return newest != f.lastRefused
}

// Folder returns the files and the revision in force in the format for peers.
func (f *Follower) Folder() wire.ConfigFolder {
	state := f.state.Load()
	folder := wire.ConfigFolder{Revision: int64(state.Config.Revision)}
	for _, file := range state.Files {
		folder.Files = append(folder.Files, wire.ConfigFile{Name: file.Name, Text: file.Text})
	}
	return folder
}

// Offer puts a peer's configuration in force if it is newer and valid.
func (f *Follower) Offer(folder wire.ConfigFolder) {
	files := make([]config.File, 0, len(folder.Files))
	for _, file := range folder.Files {
		files = append(files, config.File{Name: file.Name, Text: file.Text})
	}
	config.SortFiles(files)
	f.adopt(units.Revision(folder.Revision), files, "peer")
}

// Run follows the head on the platform until ctx ends, and retries with back-off while the platform fails.
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

// step reads the head if the version is zero, and waits for its next change otherwise. It returns the version to watch
// from, or zero to read the head again.
func (f *Follower) step(ctx context.Context, version units.Version) (units.Version, error) {
	if version == 0 {
		h, object, err := readHead(ctx, f.store)
		if err != nil {
			return 0, err
		}
		return max(object.Version, 1), f.applyHead(ctx, h, object)
	}
	if !f.isWatcher() {
		return f.waitForPoll(ctx, version), nil
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
		if err := f.applyHead(ctx, h, object); err != nil {
			return 0, err
		}
	}
	return max(change.Version, version), nil
}

// waitForPoll waits until the next poll is due or the process becomes a watcher, and returns zero so that the head is
// read again. If ctx ends first, it returns the version unchanged.
func (f *Follower) waitForPoll(ctx context.Context, version units.Version) units.Version {
	for waited := time.Duration(0); waited < pollInterval; waited += watcherCheckInterval {
		if !wait.Sleep(ctx, watcherCheckInterval) {
			return version
		}
		if f.isWatcher() {
			break
		}
	}
	return 0
}

// applyHead adopts a head that is newer than the revision in force. An older head means that the platform was restored
// from a backup; the revision in force is then written back.
func (f *Follower) applyHead(ctx context.Context, h Head, object objapi.Object) error {
	state := f.state.Load()
	switch {
	case h.Revision > state.Config.Revision:
		known := map[Hash]string{}
		for _, file := range state.Files {
			known[HashOf(file.Text)] = file.Text
		}
		files, err := fetchFiles(ctx, f.store, h, known)
		if err != nil {
			return err
		}
		f.adopt(h.Revision, files, "platform")
	case h.Revision < state.Config.Revision:
		return f.republish(ctx, object, state)
	}
	return nil
}

// republish writes the configuration in force to a platform that has an older one. A conflict means that another writer
// was first, and is ignored.
func (f *Follower) republish(ctx context.Context, object objapi.Object, state *State) error {
	f.log.Warn().Int64("revision", int64(state.Config.Revision)).
		Msg("config: platform has an older revision, writing the current one back")
	err := writeHead(ctx, f.store, object, state.Config.Revision, state.Files)
	if errors.Is(err, objapi.ErrConflict) {
		return nil
	}
	return err
}

// adopt puts a newer configuration in force if all its files pass the check. Otherwise the one in force stays.
func (f *Follower) adopt(revision units.Revision, files []config.File, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.Revision() || revision == f.lastRefused {
		return
	}
	built, _, err := config.Build(revision, files)
	if err != nil {
		f.lastRefused = revision
		f.refused.Add(1)
		f.log.Error().Int64("revision", int64(revision)).Str("source", source).Err(err).
			Msg("config: revision refused, last valid one stays in force")
		return
	}
	for _, listener := range f.listeners {
		listener(built)
	}
	f.state.Store(&State{Config: built, Files: files})
	f.log.Info().Int64("revision", int64(revision)).Str("source", source).Msg("config: revision is in force")
}
