package announcer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func member(incarnation uint64) framer.Member {
	return framer.Member{
		Role:        framer.RoleAgent,
		Address:     "a",
		Service:     "reader",
		Incarnation: incarnation,
		State:       framer.MemberServing,
	}
}

func view() *View {
	return New(framer.Member{
		Role:    framer.RoleEntry,
		Address: "self",
	})
}

func nobody(string) bool { return false }

func TestView(t *testing.T) {
	t.Run("a new member is told once", func(t *testing.T) {
		v := view()
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(1)})), 1)
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(1)})), 0)
	})
	t.Run("a replaced member is told again, its predecessor never", func(t *testing.T) {
		v := view()
		v.Merge(start, []framer.Member{member(1)})
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(2)})), 1)
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(1)})), 0)
		assert.Equal(t, v.Role(framer.RoleAgent)[0].Incarnation, uint64(2))
	})
	t.Run("a silent member is forgotten, and hearsay does not keep it", func(t *testing.T) {
		v, other := view(), view()
		other.own.Address = "other"
		v.Merge(start, []framer.Member{member(1)})
		for now := start; now.Before(start.Add(ForgetAfter)); now = now.Add(time.Second) {
			other.Merge(now, v.Members(now))
			v.Merge(now, other.Members(now))
		}
		v.Expire(start.Add(ForgetAfter+time.Second), nobody)
		other.Expire(start.Add(ForgetAfter+time.Second), nobody)
		assert.Equal(t, len(v.Role(framer.RoleAgent)), 0)
		assert.Equal(t, len(other.Role(framer.RoleAgent)), 0)
	})
	t.Run("a quiet member whose link is up stays", func(t *testing.T) {
		v := view()
		v.Merge(start, []framer.Member{member(1)})
		gone := v.Expire(start.Add(time.Hour), func(address string) bool { return address == "a" })
		assert.Equal(t, len(gone), 0)
		assert.Equal(t, v.Members(start.Add(time.Hour))[1].Age, time.Duration(0))
	})
	t.Run("a leaving member stays leaving", func(t *testing.T) {
		v := view()
		leaving := member(1)
		leaving.State = framer.MemberLeaving
		v.Merge(start, []framer.Member{leaving})
		v.Merge(start.Add(time.Second), []framer.Member{member(1)})
		assert.Equal(t, v.Role(framer.RoleAgent)[0].State, framer.MemberLeaving)
	})
}
