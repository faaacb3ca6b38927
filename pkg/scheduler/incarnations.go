package scheduler

import "slices"

// incarnations finds the runners with the same id or the same address. There is
// more than one only until the earlier incarnations are superseded.
type incarnations struct {
	byID      map[string][]*runnerState
	byAddress map[string][]*runnerState
}

func newIncarnations() *incarnations {
	return &incarnations{
		byID:      map[string][]*runnerState{},
		byAddress: map[string][]*runnerState{},
	}
}

func (n *incarnations) add(s *runnerState) {
	n.byID[s.key.ID] = append(n.byID[s.key.ID], s)
	n.addAddress(s)
}

func (n *incarnations) addAddress(s *runnerState) {
	if s.info.Address != "" {
		n.byAddress[s.info.Address] = append(n.byAddress[s.info.Address], s)
	}
}

func (n *incarnations) remove(s *runnerState) {
	without(n.byID, s.key.ID, s)
	without(n.byAddress, s.info.Address, s)
}

// moved records that a runner's address is no longer before.
func (n *incarnations) moved(s *runnerState, before string) {
	if s.info.Address != before {
		without(n.byAddress, before, s)
		n.addAddress(s)
	}
}

// earlier returns the runners that s has replaced, provided that it has answered a call:
// all others at its address, where one agent reports them in their order, and those with
// its id that started before it. A start time is a time of day, which may be set back.
func (n *incarnations) earlier(s *runnerState) []*runnerState {
	sameID, sameAddress := n.byID[s.key.ID], n.byAddress[s.info.Address]
	if len(sameID) <= 1 && len(sameAddress) <= 1 {
		return nil
	}
	var list []*runnerState
	for _, old := range slices.Concat(sameID, sameAddress) {
		startedBefore := old.key.StartedAtMillis < s.key.StartedAtMillis
		sameAgent := s.info.Address != "" && old.info.Address == s.info.Address
		if old != s && (startedBefore || sameAgent) && !slices.Contains(list, old) {
			list = append(list, old)
		}
	}
	return list
}

// without removes a runner from the list under name.
func without(lists map[string][]*runnerState, name string, s *runnerState) {
	list := slices.DeleteFunc(lists[name], func(other *runnerState) bool { return other == s })
	if len(list) == 0 {
		delete(lists, name)
		return
	}
	lists[name] = list
}
