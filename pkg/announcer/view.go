// Package announcer keeps a process's view of the other processes. There is
// no list of endpoints: each process announces itself, and views are merged
// when two processes meet.
package announcer

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// ForgetAfter is how long a silent process stays in a view.
	ForgetAfter = 15 * time.Second
	// maxMembers bounds a view.
	maxMembers = 4096
)

// known is a member with the time it was last heard, by this process's clock.
type known struct {
	member framer.Member
	heard  time.Time
}

// View holds the processes that this one knows of. It belongs to one goroutine.
type View struct {
	own     framer.Member
	members map[string]known
}

// New returns a view that holds only the process itself.
func New(own framer.Member) *View {
	return &View{
		own:     own,
		members: map[string]known{},
	}
}

// Own returns the process's own announcement.
func (v *View) Own() framer.Member {
	return v.own
}

// SetState changes the state that the process announces of itself.
func (v *View) SetState(state framer.MemberState) {
	v.own.State = state
}

// Merge takes announcements and returns those that are new or replace an
// earlier incarnation.
func (v *View) Merge(now time.Time, members []framer.Member) []framer.Member {
	var fresh []framer.Member
	for _, m := range members {
		if v.merge(now, m) {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

func (v *View) merge(now time.Time, m framer.Member) bool {
	heard := now.Add(-m.Age)
	if m.Address == v.own.Address || m.Age < 0 || m.Age > ForgetAfter {
		return false
	}
	old, ok := v.members[m.Address]
	if ok && m.Incarnation < old.member.Incarnation {
		return false
	}
	if !ok && len(v.members) >= maxMembers {
		return false
	}
	isNew := !ok || m.Incarnation > old.member.Incarnation
	if !isNew && heard.Before(old.heard) {
		return false
	}
	if !isNew && old.member.State == framer.MemberLeaving {
		m.State = framer.MemberLeaving
	}
	v.members[m.Address] = known{
		member: m,
		heard:  heard,
	}
	return isNew
}

// Heard notes that a process showed itself on a link.
func (v *View) Heard(now time.Time, address string) {
	if k, ok := v.members[address]; ok {
		k.heard = now
		v.members[address] = k
	}
}

// ExpireInterval is how often a view is to be looked through.
const ExpireInterval = time.Second

// Expire removes and returns the processes that were silent for too long. One
// to which a link is up counts as heard, however quiet the link is.
func (v *View) Expire(now time.Time, linked func(address string) bool) []framer.Member {
	var gone []framer.Member
	for _, address := range v.addresses() {
		if linked(address) {
			v.Heard(now, address)
		}
		k := v.members[address]
		if now.Sub(k.heard) > ForgetAfter {
			gone = append(gone, k.member)
			delete(v.members, address)
		}
	}
	return gone
}

// Members returns the whole view, the process itself first, with ages.
func (v *View) Members(now time.Time) []framer.Member {
	list := make([]framer.Member, 0, len(v.members)+1)
	list = append(list, v.own)
	for _, address := range v.addresses() {
		k := v.members[address]
		m := k.member
		m.Age = max(0, now.Sub(k.heard))
		list = append(list, m)
	}
	return list
}

// Role returns the other processes of a role.
func (v *View) Role(role framer.Role) []framer.Member {
	var list []framer.Member
	for _, address := range v.addresses() {
		if m := v.members[address].member; m.Role == role {
			list = append(list, m)
		}
	}
	return list
}

func (v *View) addresses() []string {
	return slices.Sorted(maps.Keys(v.members))
}
