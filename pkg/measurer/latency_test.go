package measurer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLatency(t *testing.T) {
	l := NewLatency()
	for range 99 {
		l.Record(10 * time.Millisecond)
	}
	l.Record(2 * time.Second)
	s := l.Summary()
	assert.Equal(t, s.Count, int64(100))
	assert.Assert(t, s.P50 > 9.9 && s.P50 < 10.2, "got %g", s.P50)
	assert.Assert(t, s.Max > 1980 && s.Max < 2040, "got %g", s.Max)
	t.Run("durations outside the bounds are counted", func(t *testing.T) {
		l.Record(time.Hour)
		l.Record(-time.Second)
		assert.Equal(t, l.Summary().Count, int64(102))
	})
}
