package settings

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// Source returns values of flags, by flag name, from where a deployment keeps its settings.
type Source func() (map[string]string, error)

var (
	sourcesMu sync.Mutex
	sources   = map[string]Source{}
)

// RegisterSource adds a source. Call it from init; it panics on a duplicate name.
func RegisterSource(name string, source Source) {
	sourcesMu.Lock()
	defer sourcesMu.Unlock()
	if _, ok := sources[name]; ok {
		panic("settings: source registered twice: " + name)
	}
	sources[name] = source
}

// ApplySource sets the flags that the named source gives and that are not on the command line. An empty name gives none.
func ApplySource(name string, fs *pflag.FlagSet) error {
	if name == "" {
		return nil
	}
	sourcesMu.Lock()
	source, ok := sources[name]
	sourcesMu.Unlock()
	if !ok {
		return errors.Newf("--settings-source=%s: must be one of %v", name, sourceNames())
	}
	values, err := source()
	if err != nil {
		return errors.Wrapf(err, "settings source %s", name)
	}
	var problems []error
	for flag, value := range values {
		f := fs.Lookup(flag)
		switch {
		case f == nil:
			problems = append(problems, errors.Newf("settings source %s sets unknown flag --%s", name, flag))
		case !f.Changed:
			if err := f.Value.Set(value); err != nil {
				problems = append(problems, errors.Newf("--%s=%q: %v", flag, value, err))
			}
		}
	}
	return errors.Join(problems...)
}

func sourceNames() []string {
	sourcesMu.Lock()
	defer sourcesMu.Unlock()
	names := make([]string, 0, len(sources))
	for name := range sources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
