package config

import (
	"cmp"
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/registry"
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

var sources = registry.New[Opener]("configuration source")

// RegisterSource adds a source. Call it from init; it panics on a duplicate name.
func RegisterSource(name string, open Opener) { sources.Register(name, open) }

func init() {
	// The project's own table is not a Source: the Manager reads it.
	RegisterSource(settings.SourceTable, func(*kernel.App) (Source, error) { return nil, nil })
}

// openSource returns nil for the project's own table.
func openSource(app *kernel.App) (Source, error) {
	name := cmp.Or(app.Settings.ConfigSource, settings.SourceTable)
	open, ok := sources.Get(name)
	if !ok {
		return nil, errors.Newf("--config-source=%s: must be one of %v", name, sources.Names())
	}
	return open(app)
}
