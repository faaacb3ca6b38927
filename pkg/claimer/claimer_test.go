package claimer

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/dispatcher"
	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
)

var deadline = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func testClaim(id string) dispatcher.Claim {
	return dispatcher.Claim{
		ID:       id,
		Service:  "central-polls",
		CallerID: "dial-7",
		Deadline: deadline,
	}
}

func testRelease(id string) dispatcher.Release {
	return dispatcher.Release{
		ID:       id,
		Service:  "central-polls",
		CallerID: "dial-7",
		Deadline: deadline,
	}
}

func TestSameIDIsGrantedOnceAcrossEntries(t *testing.T) {
	platform := emulator.NewPlatform()
	results := make([]dispatcher.ClaimResult, 6)
	var group errgroup.Group
	for i := range results {
		group.Go(func() error {
			c := New("entry", platform.Table())
			results[i] = c.Claim(t.Context(), testClaim(string(rune('a'+i))))
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	granted := 0
	for _, r := range results {
		if r == dispatcher.ClaimGranted {
			granted++
		} else {
			assert.Equal(t, r, dispatcher.ClaimTaken)
		}
	}
	assert.Equal(t, granted, 1)
}

func TestReleasedIDCanBeUsedAgain(t *testing.T) {
	platform := emulator.NewPlatform()
	c := New("entry", platform.Table())
	assert.Equal(t, c.Claim(t.Context(), testClaim("a")), dispatcher.ClaimGranted)
	assert.NilError(t, c.Release(t.Context(), testRelease("a")))
	assert.Equal(t, c.Claim(t.Context(), testClaim("b")), dispatcher.ClaimGranted)
	// A late release of the first claim must not release the second.
	assert.NilError(t, c.Release(t.Context(), testRelease("a")))
	assert.Equal(t, c.Claim(t.Context(), testClaim("c")), dispatcher.ClaimTaken)
}

func TestClaimWithLostAnswer(t *testing.T) {
	t.Run("is granted once the table answers again", func(t *testing.T) {
		platform := emulator.NewPlatform()
		c := New("entry", platform.Table())
		platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 2})
		assert.Equal(t, c.Claim(t.Context(), testClaim("a")), dispatcher.ClaimGranted)
	})
	t.Run("is released in the background", func(t *testing.T) {
		platform := emulator.NewPlatform()
		c := New("entry", platform.Table())
		platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 1_000_000})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		assert.Equal(t, c.Claim(ctx, testClaim("a")), dispatcher.ClaimUnavailable)
		platform.SetFaults(emulator.PlatformFaults{})
		assert.NilError(t, c.Release(t.Context(), testRelease("a")))
		assert.Equal(t, c.Claim(t.Context(), testClaim("b")), dispatcher.ClaimGranted)
	})
	t.Run("is not granted during an outage", func(t *testing.T) {
		platform := emulator.NewPlatform()
		c := New("entry", platform.Table())
		platform.SetFaults(emulator.PlatformFaults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		assert.Equal(t, c.Claim(ctx, testClaim("a")), dispatcher.ClaimUnavailable)
	})
}

func TestClaimsPastTheirRetentionAreSwept(t *testing.T) {
	platform := emulator.NewPlatform()
	c := New("entry", platform.Table())
	assert.Equal(t, c.Claim(t.Context(), testClaim("a")), dispatcher.ClaimGranted)
	_, err := c.Sweep(t.Context(), deadline.Add(claimRetention-1), "")
	assert.NilError(t, err)
	assert.Equal(t, c.Claim(t.Context(), testClaim("b")), dispatcher.ClaimTaken)
	next, err := c.Sweep(t.Context(), deadline.Add(claimRetention), "")
	assert.NilError(t, err)
	assert.Equal(t, next, "")
	assert.Equal(t, c.Claim(t.Context(), testClaim("c")), dispatcher.ClaimGranted)
}
