package leaser

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A runner that was stopped may answer a call before it notices that its lease has expired.
func TestSettling(t *testing.T) {
	assertSettled := func(t *testing.T, want bool, readings ...int64) {
		t.Helper()
		var s Settling
		for _, r := range readings {
			s.Read(r)
		}
		assert.Equal(t, s.Done(), want)
	}
	t.Run("no reading shows nothing", func(t *testing.T) { assertSettled(t, false) })
	t.Run("one reading shows nothing", func(t *testing.T) { assertSettled(t, false, 7000) })
	t.Run("nor do two that are close together", func(t *testing.T) { assertSettled(t, false, 7000, 7000+SettleMillis-1) })
	t.Run("two that are apart do", func(t *testing.T) { assertSettled(t, true, 7000, 7000+SettleMillis) })
	t.Run("but not around another stop", func(t *testing.T) { assertSettled(t, false, 7000, 7000+maxReadingGapMillis+1) })
	t.Run("after which two others do", func(t *testing.T) { assertSettled(t, true, 7000, 9000, 9000+SettleMillis) })
	t.Run("an earlier reading that is late changes nothing", func(t *testing.T) { assertSettled(t, false, 7000, 6000) })
}
