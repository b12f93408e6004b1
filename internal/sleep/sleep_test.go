package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// Guards against a sleep that outlasts its context, or that reports an interrupted sleep as complete.
func TestFor(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		is.True(For(ctx, time.Second))
		is.True(For(ctx, 0))
		result := make(chan bool, 1)
		go func() { result <- For(ctx, time.Hour) }()
		synctest.Wait()
		cancel()
		is.True(!<-result)
		is.True(!For(ctx, 0))
		is.True(!For(ctx, -time.Second))
	})
}
