package config

import (
	"os"
	"testing"

	"github.com/phuslu/log"
)

// TestMain disables log output, because the tests provoke thousands of logged failures.
func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.PanicLevel
	os.Exit(m.Run())
}
