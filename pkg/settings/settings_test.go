package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

// parse returns the settings for the environment and the given command line, and the error of the first step that fails.
func parse(t *testing.T, args ...string) (Settings, error) {
	t.Helper()
	var s Settings
	fs := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.Register(fs)
	if err := ApplyEnv(fs); err != nil {
		return s, err
	}
	if err := fs.Parse(args); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// Guards against an error that names only the first of several invalid settings.
func TestValidateReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := parse(t, "--host=a b", "--caller-listen=localhost", "--lookup-ttl=1ms")
	is.True(err != nil)
	for _, flag := range []string{"--host=a b", "--failure-domain", "--region", "--caller-listen=localhost", "--lookup-ttl=1ms"} {
		is.True(strings.Contains(err.Error(), flag)) // the error names each invalid flag with its value
	}
}

// Guards against environment variables that override the command line.
func TestFlagsTakePrecedenceOverEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("RATTANHITCH_HOST", "from-env")
	t.Setenv("RATTANHITCH_REGION", "r1")
	s, err := parse(t, "--host=from-flag", "--failure-domain=d1")
	is.NoErr(err)
	is.Equal(s.Host, "from-flag")
	is.Equal(s.Region, "r1")
}

// Guards against an operator port off loopback that is accepted without a token or CA file.
func TestOperatorPortNeedsAuthenticationOffLoopback(t *testing.T) {
	is := is.New(t)
	_, err := parse(t, "--host=h", "--failure-domain=d", "--region=r", "--operator-listen=0.0.0.0:1")
	is.True(err != nil)
	_, err = parse(t, "--host=h", "--failure-domain=d", "--region=r", "--operator-listen=0.0.0.0:1", "--operator-token=x")
	is.NoErr(err)
}

// Guards against a daemon that starts without its metrics listener because the address is invalid.
func TestMetricsAddressIsChecked(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, "--host=h", "--failure-domain=d", "--region=r", "--metrics-listen=10.0.0.1:9464")
	is.NoErr(err)
	is.Equal(s.MetricsListen, "10.0.0.1:9464")
	_, err = parse(t, "--host=h", "--failure-domain=d", "--region=r", "--metrics-listen=:9464")
	is.True(err != nil)
}
