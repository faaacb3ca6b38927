package experimenter

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// The peers exchange bounded views as in "Building dynamic random peer-to-peer
// overlays" (Wu, Oosita, Kakugawa, Masuzawa): random target, push seeds,
// push&pull merging, head selection. A peer's initial hop count determines its
// in-degree, that is how many views have a link to it.

const (
	overlayCycles = 60
	// linkBytes is the size of a link of a view in CBOR: address, incarnation,
	// service, failure domain, hop count.
	linkBytes = 60
	// overlayFailureDomains is the number of failure domains of the peers.
	overlayFailureDomains = 9
	// maxDeadShare is the share of dead links up to which the overlay counts as
	// repaired after a loss.
	maxDeadShare = 0.01
)

// OverlayResult is the measurement of one overlay.
type OverlayResult struct {
	Peers int `json:"peers"`
	View  int `json:"view"`
	// DegreeControl is set if the peers of twice the capacity request twice the
	// in-degree.
	DegreeControl bool `json:"degree-control"`
	// InDegreeRatio is the mean in-degree of those peers divided by that of the others.
	InDegreeRatio float64 `json:"in-degree-ratio"`
	// InDegreeSpread is the variance of the in-degree among the others, divided by the
	// variance in a random graph, which equals the mean.
	InDegreeSpread float64 `json:"in-degree-spread"`
	// RepairCycles is the number of exchange cycles after the loss of a failure
	// domain until the share of dead links is at most maxDeadShare. It is
	// overlayCycles if the overlay was not repaired by then.
	RepairCycles int `json:"cycles-to-mend"`
	// BytesPerCycle is the mean number of bytes that a peer sends and receives in
	// each exchange cycle.
	BytesPerCycle int `json:"bytes-a-cycle"`
}

// viewLink is a link of a view, with the hop count of that link.
type viewLink struct {
	peer int
	hops int
}

// overlay is a set of peers with views of at most size links.
type overlay struct {
	rnd         *rand.Rand
	size        int
	views       [][]viewLink
	initialHops []int
	alive       []bool
}

// RunOverlay runs overlayCycles exchange cycles, measures the in-degrees, then
// fails one failure domain and measures the time to repair the views.
func RunOverlay(peers, size int, control bool, seed uint64) OverlayResult {
	o := newOverlay(peers, size, control, seed)
	for range overlayCycles {
		o.runCycle()
	}
	r := OverlayResult{
		Peers:         peers,
		View:          size,
		DegreeControl: control,
		BytesPerCycle: 4 * size * linkBytes,
	}
	r.InDegreeRatio, r.InDegreeSpread = o.inDegrees()
	for i := range o.alive {
		o.alive[i] = i%overlayFailureDomains != 0
	}
	for r.RepairCycles < overlayCycles && o.deadShare() > maxDeadShare {
		o.runCycle()
		r.RepairCycles++
	}
	return r
}

func newOverlay(peers, size int, control bool, seed uint64) *overlay {
	o := &overlay{
		rnd:         rand.New(rand.NewPCG(seed, 7)),
		size:        size,
		views:       make([][]viewLink, peers),
		initialHops: make([]int, peers),
		alive:       make([]bool, peers),
	}
	for i := range peers {
		o.alive[i] = true
		if control && i%2 == 0 {
			o.initialHops[i] = -1
		}
		for _, j := range o.rnd.Perm(peers)[:size] {
			if j != i {
				o.views[i] = append(o.views[i], viewLink{peer: j})
			}
		}
	}
	return o
}

// runCycle makes each live peer exchange its view with a random peer of that
// view, or delete the link if that peer is dead.
func (o *overlay) runCycle() {
	for i := range o.views {
		if !o.alive[i] || len(o.views[i]) == 0 {
			continue
		}
		at := o.rnd.IntN(len(o.views[i]))
		j := o.views[i][at].peer
		if !o.alive[j] {
			o.views[i] = slices.Delete(o.views[i], at, at+1)
			continue
		}
		o.exchange(i, j)
	}
}

func (o *overlay) exchange(i, j int) {
	for _, v := range []int{i, j} {
		for k := range o.views[v] {
			o.views[v][k].hops++
		}
	}
	seed := viewLink{
		peer: i,
		hops: o.initialHops[i],
	}
	fromI := slices.Clone(o.views[i])
	o.views[i] = o.selectHead(i, append(o.views[i], o.views[j]...))
	o.views[j] = o.selectHead(j, append(append(o.views[j], fromI...), seed))
}

// selectHead returns up to size links with the fewest hops, at most one for each
// peer and none to self. Equal hop counts are ordered at random.
func (o *overlay) selectHead(self int, links []viewLink) []viewLink {
	o.rnd.Shuffle(len(links), func(a, b int) { links[a], links[b] = links[b], links[a] })
	slices.SortStableFunc(links, func(a, b viewLink) int { return cmp.Compare(a.hops, b.hops) })
	kept := make([]viewLink, 0, o.size)
	for _, l := range links {
		if len(kept) == o.size {
			break
		}
		known := slices.ContainsFunc(kept, func(k viewLink) bool { return k.peer == l.peer })
		if l.peer != self && !known {
			kept = append(kept, l)
		}
	}
	return kept
}

// inDegrees returns the ratio of the mean in-degree of the peers with an even
// index, which have twice the capacity, to that of the others, and the variance
// of the others' in-degrees divided by their mean.
func (o *overlay) inDegrees() (float64, float64) {
	in := make([]float64, len(o.views))
	for _, view := range o.views {
		for _, l := range view {
			in[l.peer]++
		}
	}
	var sums [2]float64
	for i, n := range in {
		sums[i%2] += n
	}
	mean := sums[1] / float64(len(in)/2)
	variance := 0.0
	for i := 1; i < len(in); i += 2 {
		variance += (in[i] - mean) * (in[i] - mean)
	}
	variance /= float64(len(in) / 2)
	return sums[0] / sums[1], variance / mean
}

func (o *overlay) deadShare() float64 {
	links, dead := 0, 0
	for i, view := range o.views {
		if !o.alive[i] {
			continue
		}
		for _, l := range view {
			links++
			if !o.alive[l.peer] {
				dead++
			}
		}
	}
	return float64(dead) / float64(max(1, links))
}
