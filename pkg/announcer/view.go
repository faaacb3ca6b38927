// Package announcer keeps each process's view of the other processes. There is
// no central list of endpoints: each process announces itself, and processes
// merge the views that they receive from one another.
package announcer

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// ExpireAfter is how long a process that was not heard from stays in a
	// view.
	ExpireAfter = 15 * time.Second
	// maxMembers is the largest number of other processes in a view.
	maxMembers = 4096
)

// seenMember is a member with the time at which it was last seen, by the clock
// of this process.
type seenMember struct {
	member   framer.Member
	lastSeen time.Time
}

// View is the set of processes known to this one. It belongs to one goroutine.
type View struct {
	own     framer.Member
	members map[string]seenMember
}

// New returns a view that contains only the process itself.
func New(own framer.Member) *View {
	return &View{
		own:     own,
		members: map[string]seenMember{},
	}
}

// Own returns the process's own announcement.
func (v *View) Own() framer.Member {
	return v.own
}

// SetState changes the state that the process announces for itself.
func (v *View) SetState(state framer.MemberState) {
	v.own.State = state
}

// Merge adds received announcements to the view. It returns those that are new
// or replace an earlier incarnation.
func (v *View) Merge(now time.Time, members []framer.Member) []framer.Member {
	var added []framer.Member
	for _, m := range members {
		if v.merge(now, m) {
			added = append(added, m)
		}
	}
	return added
}

func (v *View) merge(now time.Time, m framer.Member) bool {
	lastSeen := now.Add(-m.Age)
	if m.Address == v.own.Address || m.Age < 0 || m.Age > ExpireAfter {
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
	if !isNew && lastSeen.Before(old.lastSeen) {
		return false
	}
	if !isNew && old.member.State == framer.MemberLeaving {
		m.State = framer.MemberLeaving
	}
	v.members[m.Address] = seenMember{
		member:   m,
		lastSeen: lastSeen,
	}
	return isNew
}

// RecordContact records that a process was seen at now because a link to it is
// open.
func (v *View) RecordContact(now time.Time, address string) {
	if seen, ok := v.members[address]; ok {
		seen.lastSeen = now
		v.members[address] = seen
	}
}

// ExpireInterval is the time between two calls of Expire.
const ExpireInterval = time.Second

// Expire removes and returns the processes that were not seen for longer than
// ExpireAfter. A process with an open link counts as seen, even if the link is
// idle.
func (v *View) Expire(now time.Time, linked func(address string) bool) []framer.Member {
	var expired []framer.Member
	for _, address := range v.addresses() {
		if linked(address) {
			v.RecordContact(now, address)
		}
		seen := v.members[address]
		if now.Sub(seen.lastSeen) > ExpireAfter {
			expired = append(expired, seen.member)
			delete(v.members, address)
		}
	}
	return expired
}

// Members returns the whole view with ages, the process itself first.
func (v *View) Members(now time.Time) []framer.Member {
	list := make([]framer.Member, 0, len(v.members)+1)
	list = append(list, v.own)
	for _, address := range v.addresses() {
		seen := v.members[address]
		m := seen.member
		m.Age = max(0, now.Sub(seen.lastSeen))
		list = append(list, m)
	}
	return list
}

// WithRole returns the other processes that have the role.
func (v *View) WithRole(role framer.Role) []framer.Member {
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
