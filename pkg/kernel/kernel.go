// Package kernel is the registry of the daemon's modules and runs their lifecycle: Provision, Validate, Start and Cleanup.
package kernel

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// Module is a component of the daemon with its own lifecycle.
type Module interface {
	// Provision builds the module from the settings and from the modules that it depends on.
	Provision(app *App) error
	// Validate checks what Provision built, without side effects.
	Validate() error
	// Start begins background work and returns. The work ends when ctx is cancelled or Cleanup is called.
	Start(ctx context.Context) error
	// Cleanup stops background work and releases resources. It must return soon after ctx is cancelled, and it must also work
	// after a failed Provision and without a Start.
	Cleanup(ctx context.Context) error
}

// Info describes a module to the kernel.
type Info struct {
	// ID is the unique name of the module.
	ID string
	// After lists the IDs of the modules that this one depends on. They are provisioned before it and cleaned up after it.
	After []string
	// New returns a new instance of the module.
	New func() Module
}

var (
	registryMu sync.Mutex
	registry   = map[string]Info{}
)

// Register adds a module to the registry. Call it from init. It panics if the ID is already registered.
func Register(info Info) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, ok := registry[info.ID]; ok {
		panic("kernel: module registered twice: " + info.ID)
	}
	registry[info.ID] = info
}

// App holds the modules of one running daemon.
type App struct {
	// Settings are the settings of the daemon.
	Settings settings.Settings
	modules  map[string]Module
	// order lists the IDs of all modules in dependency order.
	order []string
	// provisioned lists the IDs of the modules on which Provision was called, in that order. Stop cleans them up.
	provisioned []string
}

// NewApp returns an App with a new instance of each registered module, not yet provisioned. It fails if a dependency is missing
// or the dependencies form a cycle.
func NewApp(s settings.Settings) (*App, error) {
	registryMu.Lock()
	defer registryMu.Unlock()
	order, err := sortByDependency(registry)
	if err != nil {
		return nil, err
	}
	app := &App{Settings: s, modules: map[string]Module{}, order: order}
	for _, id := range order {
		app.modules[id] = registry[id].New()
	}
	return app, nil
}

// Get returns the module with the given ID as type M. It fails if the ID is not registered or the module has another type.
func Get[M Module](app *App, id string) (M, error) {
	var zero M
	m, ok := app.modules[id]
	if !ok {
		return zero, errors.Newf("module %q is not registered", id)
	}
	typed, ok := m.(M)
	if !ok {
		return zero, errors.Newf("module %q has unexpected type %T", id, m)
	}
	return typed, nil
}

// Binding looks up a module of an App and assigns it to a variable.
type Binding func(app *App) error

// To returns a Binding that assigns the module with the given ID to target.
func To[M Module](target *M, id string) Binding {
	return func(app *App) error {
		m, err := Get[M](app, id)
		*target = m
		return err
	}
}

// Bind applies all bindings and returns their joined errors.
func Bind(app *App, bindings ...Binding) error {
	var problems []error
	for _, bind := range bindings {
		problems = append(problems, bind(app))
	}
	return errors.Join(problems...)
}

// Start provisions all modules in dependency order, then validates all, then starts all. Modules may register handlers with
// each other in Provision and Validate, before any module is started. If a step fails, Start cleans up all modules on which
// Provision was called, including the one that failed.
func (a *App) Start(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(m Module) error
	}{
		{"provision", func(m Module) error { return m.Provision(a) }},
		{"validate", func(m Module) error { return m.Validate() }},
		{"start", func(m Module) error { return m.Start(ctx) }},
	}
	for _, step := range steps {
		for _, id := range a.order {
			err := step.run(a.modules[id])
			if step.name == "provision" {
				a.provisioned = append(a.provisioned, id)
			}
			if err != nil {
				return errors.CombineErrors(steperr.Wrap(err, step.name+" module "+id, ""), a.Stop(ctx))
			}
		}
	}
	return nil
}

// Stop cleans up the provisioned modules in reverse order. It continues after an error and returns the first one.
func (a *App) Stop(ctx context.Context) error {
	var first error
	for _, id := range slices.Backward(a.provisioned) {
		err := steperr.Wrap(a.modules[id].Cleanup(ctx), "stop module "+id, "")
		if first == nil {
			first = err
		}
	}
	a.provisioned = nil
	return first
}

// sortByDependency returns the module IDs in topological order by a depth-first search; modules without dependencies between
// them are ordered by name. It fails if a dependency is missing or the dependencies form a cycle.
func sortByDependency(infos map[string]Info) ([]string, error) {
	names := make([]string, 0, len(infos))
	for id := range infos {
		names = append(names, id)
	}
	slices.Sort(names)
	var order []string
	state := map[string]int{}
	const visiting, done = 1, 2
	var visit func(id string) error
	visit = func(id string) error {
		info, ok := infos[id]
		switch {
		case !ok:
			return errors.Newf("another module depends on module %q, which is not registered", id)
		case state[id] == done:
			return nil
		case state[id] == visiting:
			return errors.Newf("dependency cycle through module %q", id)
		}
		state[id] = visiting
		for _, dep := range info.After {
			if err := visit(dep); err != nil {
				return err
			}
		}
		state[id] = done
		order = append(order, id)
		return nil
	}
	for _, id := range names {
		if err := visit(id); err != nil {
			return nil, err
		}
	}
	return order, nil
}
