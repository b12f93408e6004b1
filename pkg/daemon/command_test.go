package daemon

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// Guards against flags whose name, environment variable or default differs from docs/configuration.md, and against documented
// flags that do not exist.
func TestConfigurationPageMatchesFlags(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/configuration.md")
	is.NoErr(err)
	rows := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `--([a-z-]+)` \\| `([A-Z_]+)` \\| (.*) \\|$").FindAllStringSubmatch(string(page), -1) {
		rows[m[1]] = m[2] + " " + m[3]
	}
	NewCommand().Flags().VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" {
			return
		}
		row, ok := rows[f.Name]
		is.True(ok) // the page has a row for the flag
		is.True(strings.HasPrefix(row, settings.EnvName(f.Name)+" "))
		is.True(strings.Contains(row, "`"+f.DefValue+"`") || f.DefValue == "" || f.DefValue == "[]")
		delete(rows, f.Name)
	})
	is.Equal(len(rows), 0) // each row of the page belongs to a flag
}

// Guards against a --check that accepts settings with which the daemon would not start.
func TestCheck(t *testing.T) {
	is := is.New(t)
	cmd := NewCommand()
	var out strings.Builder
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"--check", "--host=h", "--failure-domain=d", "--region=r", "--platform-driver=none"})
	err := cmd.Execute()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "--platform-driver=none"))
}
