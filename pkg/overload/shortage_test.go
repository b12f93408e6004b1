package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against members that change with each short shortage of processor time, which costs all hosts more than it saves, and against callers that
// come back as soon as a host has refused them all.
func TestOnlyLastingShortagesCount(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p, m := newScriptedProcess(now)
	s := &shortage{}
	// pass lets time pass in which all waits are in a bucket, and returns for how long the shortage was lasting.
	pass := func(length time.Duration, bucket int) (lasting time.Duration) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(reportInterval)
			p.add(bucket, 100)
			if s.update(m, now) {
				lasting += reportInterval
			}
		}
		return lasting
	}
	const brief = 3 * reportInterval
	is.Equal(pass(10*time.Second, 0), time.Duration(0))
	is.Equal(pass(brief, 2), time.Duration(0))
	is.Equal(pass(time.Second, 0), time.Duration(0))
	is.Equal(pass(2*onsetTime, 2), onsetTime)
	is.Equal(pass(time.Second, 0), time.Second)
	is.Equal(pass(brief, 2), brief)
	is.Equal(pass(10*time.Second, 0), recoveryTime)
}
