package config

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/registry"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// ErrReadOnly means that the configuration comes from an external Source and can only be changed there.
var ErrReadOnly = errors.New("the configuration is changed at its source, not here")

// Source is an external source of the configuration, used instead of this project's own objects in the platform's table.
type Source interface {
	// Run puts the snapshots of the source into force in store until ctx ends.
	Run(ctx context.Context, store *Store)
	// Age returns the time for which the snapshot in force may have been out of date. ok is false before the first one.
	Age(now time.Time) (age time.Duration, ok bool)
	// Lag returns the time for which the snapshot in force may have been behind what this host could learn from others. ok is false before
	// the first one.
	Lag(now time.Time) (lag time.Duration, ok bool)
}

// Opener opens a source. It is called while the module config is provisioned and may use the modules platform, peer and
// membership.
type Opener func(app *kernel.App) (Source, error)

var sources = registry.New[Opener]("configuration source")

// RegisterSource registers a source under a name. It must be called from init and panics on a duplicate name.
func RegisterSource(name string, open Opener) { sources.Register(name, open) }

func init() {
	// Manager itself reads the objects in the platform's table.
	RegisterSource(settings.SourceTable, func(*kernel.App) (Source, error) { return nil, nil })
}

// openSource opens the source named in the settings. It returns nil if Manager reads the configuration from the platform's
// table.
func openSource(app *kernel.App) (Source, error) {
	name := cmp.Or(app.Settings.ConfigSource, settings.SourceTable)
	open, ok := sources.Get(name)
	if !ok {
		return nil, errors.Newf("--config-source=%s: must be one of %v", name, sources.Names())
	}
	return open(app)
}
