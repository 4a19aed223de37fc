package telemetry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log, or a process's memory, that anyone can fill by repeating a
// request.
func TestThrottlePassesOneLineAKeyAndInterval(t *testing.T) {
	is := is.New(t)
	throttle := &Throttle{Interval: time.Minute}
	is.True(throttle.Allow("a", time.Hour))
	is.True(!throttle.Allow("a", time.Hour+59*time.Second))
	is.True(throttle.Allow("b", time.Hour+59*time.Second))
	is.True(throttle.Allow("a", time.Hour+time.Minute))
	for i := range 3 * maxThrottledKeys {
		throttle.Allow(fmt.Sprint(i), time.Hour)
		is.True(len(throttle.passed) <= maxThrottledKeys)
	}
}
