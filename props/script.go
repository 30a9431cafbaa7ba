package props

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Text returns an argument of a command as a string. The test fails if the argument
// is missing.
func Text(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}

// Duration returns an argument of a command as a duration, as in "150ms". The test
// fails if the argument is missing or not a duration.
func Duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	value, err := time.ParseDuration(Text(t, d, name))
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return value
}

// Number returns an argument of a command as a number. The test fails if the
// argument is missing or not a number.
func Number(t *testing.T, d *datadriven.TestData, name string) float64 {
	value, err := strconv.ParseFloat(Text(t, d, name), 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return value
}
