package experimenter

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// The exchange of bounded views that is measured here is the one of "Building
// dynamic random peer-to-peer overlays" (Wu, Oosita, Kakugawa, Masuzawa):
// random target, push seeds, push&pull merging, head selection; a peer's
// initial hop count sets how often others hold a link to it.

const (
	overlayCycles = 60
	// linkBytes is one link of a view in CBOR: address, incarnation, service,
	// failure domain, hop count.
	linkBytes = 60
	// domains is how many failure domains the peers stand in.
	domains = 9
	// fewDead is the share of dead links at which a loss counts as mended.
	fewDead = 0.01
)

// OverlayResult is what one overlay showed.
type OverlayResult struct {
	Peers int `json:"peers"`
	View  int `json:"view"`
	// Control tells whether peers of twice the capacity ask for twice the
	// links.
	Control bool `json:"degree-control"`
	// Ratio is the mean in-degree of those peers to that of the others.
	Ratio float64 `json:"in-degree-ratio"`
	// Spread is the variance of the in-degree among the others, divided by
	// that of a random graph.
	Spread float64 `json:"in-degree-spread"`
	// CyclesToMend is how many exchanges it takes after a failure domain was
	// lost until few links are dead.
	CyclesToMend int `json:"cycles-to-mend"`
	// BytesACycle is what a peer sends and receives in each exchange round.
	BytesACycle int `json:"bytes-a-cycle"`
}

// viewLink is a link of a view.
type viewLink struct {
	peer int
	hops int
}

// overlay is a set of peers with bounded views.
type overlay struct {
	rnd     *rand.Rand
	size    int
	views   [][]viewLink
	initial []int
	alive   []bool
}

// RunOverlay lets views be exchanged, loses a failure domain, and measures.
func RunOverlay(peers, size int, control bool, seed uint64) OverlayResult {
	o := newOverlay(peers, size, control, seed)
	for range overlayCycles {
		o.cycle()
	}
	r := OverlayResult{
		Peers:       peers,
		View:        size,
		Control:     control,
		BytesACycle: 4 * size * linkBytes,
	}
	r.Ratio, r.Spread = o.degrees()
	for i := range o.alive {
		o.alive[i] = i%domains != 0
	}
	for r.CyclesToMend < overlayCycles && o.deadShare() > fewDead {
		o.cycle()
		r.CyclesToMend++
	}
	return r
}

func newOverlay(peers, size int, control bool, seed uint64) *overlay {
	o := &overlay{
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		size:    size,
		views:   make([][]viewLink, peers),
		initial: make([]int, peers),
		alive:   make([]bool, peers),
	}
	for i := range peers {
		o.alive[i] = true
		if control && i%2 == 0 {
			o.initial[i] = -1
		}
		for _, j := range o.rnd.Perm(peers)[:size] {
			if j != i {
				o.views[i] = append(o.views[i], viewLink{peer: j})
			}
		}
	}
	return o
}

// cycle lets each living peer exchange its view with one of it.
func (o *overlay) cycle() {
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
		hops: o.initial[i],
	}
	fromI := slices.Clone(o.views[i])
	o.views[i] = o.head(i, append(o.views[i], o.views[j]...))
	o.views[j] = o.head(j, append(append(o.views[j], fromI...), seed))
}

// head keeps the links of the fewest hops, one a peer.
func (o *overlay) head(self int, links []viewLink) []viewLink {
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

// degrees returns the ratio of the mean in-degrees of the two halves, and the
// spread of the second.
func (o *overlay) degrees() (float64, float64) {
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
