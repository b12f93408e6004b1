package config

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// ErrReadOnly means that the configuration comes from another source than this project's own table, where it is changed.
var ErrReadOnly = errors.New("the configuration is changed at its source, not here")

// Source brings the configuration from outside of this project's own table.
type Source interface {
	// Run puts snapshots into force until ctx ends.
	Run(ctx context.Context, store *Store)
}

// Opener opens a source while the module config is provisioned: the modules platform, peer and membership can be used.
type Opener func(app *kernel.App) (Source, error)

var (
	sourcesMu sync.Mutex
	sources   = map[string]Opener{}
)

// RegisterSource adds a source. Call it from init; it panics on a duplicate name.
func RegisterSource(name string, open Opener) {
	sourcesMu.Lock()
	defer sourcesMu.Unlock()
	if _, ok := sources[name]; ok || name == settings.SourceTable {
		panic("config: source registered twice: " + name)
	}
	sources[name] = open
}

// openSource returns nil for the project's own table.
func openSource(app *kernel.App) (Source, error) {
	name := app.Settings.ConfigSource
	if name == "" || name == settings.SourceTable {
		return nil, nil
	}
	sourcesMu.Lock()
	open, ok := sources[name]
	sourcesMu.Unlock()
	if !ok {
		return nil, errors.Newf("--config-source=%s: must be one of %v", name, sourceNames())
	}
	return open(app)
}

func sourceNames() []string {
	sourcesMu.Lock()
	defer sourcesMu.Unlock()
	names := []string{settings.SourceTable}
	for name := range sources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
