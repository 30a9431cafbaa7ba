package work

import "time"

// TimerDelay returns d, or one nanosecond if d is not positive. A timer that is due
// when it is set crashes the race detector of Go 1.26 in a synctest bubble of
// several processors, so delays that are computed from deadlines go through it.
func TimerDelay(d time.Duration) time.Duration { return max(d, time.Nanosecond) }
