// Package soak reads the parameters of randomised tests from the environment.
package soak

import (
	"os"
	"strconv"
	"testing"
)

// Variables that choose the seed and the number of rounds of a randomised test.
const (
	Seed   = "RATTANHITCH_SOAK_SEED"
	Rounds = "RATTANHITCH_SOAK_ROUNDS"
)

// Parameter returns the number in an environment variable, or the default value if the variable is empty. It fails the test if the text is not
// a number of at least 1.
func Parameter(t *testing.T, variable string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q: must be a number of at least 1", variable, text)
	}
	return n
}
