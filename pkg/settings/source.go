package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"github.com/rattanhitch/rattanhitch/internal/registry"
)

// Source returns values of flags, by flag name, from where a deployment keeps its settings.
type Source func() (map[string]string, error)

var sources = registry.New[Source]("settings source")

// RegisterSource adds a source. Call it from init; it panics on a duplicate name.
func RegisterSource(name string, source Source) { sources.Register(name, source) }

// ApplySource sets the flags that the named source gives and that are not on the command line. An empty name gives none.
func ApplySource(name string, fs *pflag.FlagSet) error {
	if name == "" {
		return nil
	}
	source, ok := sources.Get(name)
	if !ok {
		return errors.Newf("--settings-source=%s: must be one of %v", name, sources.Names())
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
