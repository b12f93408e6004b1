package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"github.com/rattanhitch/rattanhitch/internal/registry"
)

// Source returns flag values by flag name. It translates the settings of a deployment into flags of the daemon.
type Source func() (map[string]string, error)

var sources = registry.New[Source]("settings source")

// RegisterSource registers a source under a name. Call it from init; it panics on a duplicate name.
func RegisterSource(name string, source Source) { sources.Register(name, source) }

// ApplySource sets the flags whose values the named source returns, except those set on the command line. With an empty name it
// does nothing. It fails for an unknown source, unknown flags and invalid values.
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
