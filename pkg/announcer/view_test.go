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

func newView() *View {
	return New(framer.Member{
		Role:    framer.RoleEntry,
		Address: "self",
	})
}

func neverLinked(string) bool { return false }

func TestView(t *testing.T) {
	t.Run("a new member is returned once", func(t *testing.T) {
		v := newView()
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(1)})), 1)
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(1)})), 0)
	})
	t.Run("a new incarnation is returned again, an earlier one is ignored", func(t *testing.T) {
		v := newView()
		v.Merge(start, []framer.Member{member(1)})
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(2)})), 1)
		assert.Equal(t, len(v.Merge(start, []framer.Member{member(1)})), 0)
		assert.Equal(t, v.WithRole(framer.RoleAgent)[0].Incarnation, uint64(2))
	})
	t.Run("a silent member expires although peers still list it", func(t *testing.T) {
		v, other := newView(), newView()
		other.own.Address = "other"
		v.Merge(start, []framer.Member{member(1)})
		for now := start; now.Before(start.Add(ExpireAfter)); now = now.Add(time.Second) {
			other.Merge(now, v.Members(now))
			v.Merge(now, other.Members(now))
		}
		v.Expire(start.Add(ExpireAfter+time.Second), neverLinked)
		other.Expire(start.Add(ExpireAfter+time.Second), neverLinked)
		assert.Equal(t, len(v.WithRole(framer.RoleAgent)), 0)
		assert.Equal(t, len(other.WithRole(framer.RoleAgent)), 0)
	})
	t.Run("a silent member with an open link stays", func(t *testing.T) {
		v := newView()
		v.Merge(start, []framer.Member{member(1)})
		expired := v.Expire(start.Add(time.Hour), func(address string) bool { return address == "a" })
		assert.Equal(t, len(expired), 0)
		assert.Equal(t, v.Members(start.Add(time.Hour))[1].Age, time.Duration(0))
	})
	t.Run("a leaving member keeps its state", func(t *testing.T) {
		v := newView()
		leaving := member(1)
		leaving.State = framer.MemberLeaving
		v.Merge(start, []framer.Member{leaving})
		v.Merge(start.Add(time.Second), []framer.Member{member(1)})
		assert.Equal(t, v.WithRole(framer.RoleAgent)[0].State, framer.MemberLeaving)
	})
}
