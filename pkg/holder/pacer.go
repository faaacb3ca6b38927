package holder

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	fullPace = 100
	// paceUp is by how much a filling run's pace rises at once.
	paceUp = 15
	// paceCut divides the pace of a run that presses too much.
	paceCut = 4
	// cutAllAfter is how long a serving run may be over its target before all
	// filling runs stand still, also those that were learnt not to press.
	cutAllAfter = 1800 * time.Millisecond
	// lowLoad is the share of its target below which a serving run leaves
	// room for more beside it.
	lowLoad = 0.75
	// paceInterval is the time between two changes of pace; a runner's
	// figures cover half a second.
	paceInterval = 500 * time.Millisecond
)

// pacer holds filling runs back while a serving run beside them is too slow.
type pacer struct {
	// targets holds the bound of each serving run, in milliseconds.
	targets map[framer.RunRef]float64
	// paces holds the pace of each filling run, in percent, and presses how
	// much it slows the serving runs at full pace.
	paces   map[framer.RunRef]int
	presses map[framer.RunRef]float64
	// worst is the highest tail latency of a serving run as a share of its
	// target.
	worst    float64
	measured bool
	// overSince is since when a serving run is over its target; nought while
	// none is.
	overSince time.Time
	nextAt    time.Time
}

// paceChange is a new pace for a run.
type paceChange struct {
	ref     framer.RunRef
	percent int
}

func newPacer() *pacer {
	return &pacer{
		targets: map[framer.RunRef]float64{},
		paces:   map[framer.RunRef]int{},
		presses: map[framer.RunRef]float64{},
	}
}

// share takes which runs serve and which fill.
func (p *pacer) share(sharing []framer.Sharing) {
	targets := map[framer.RunRef]float64{}
	paces := map[framer.RunRef]int{}
	presses := map[framer.RunRef]float64{}
	for _, s := range sharing {
		if s.TargetMillis > 0 {
			targets[s.RunRef] = s.TargetMillis
			continue
		}
		presses[s.RunRef] = s.Interference
		paces[s.RunRef] = fullPace
		if pace, ok := p.paces[s.RunRef]; ok {
			paces[s.RunRef] = pace
		}
	}
	p.targets = targets
	p.paces = paces
	p.presses = presses
}

// measure takes the figures of the last half second.
func (p *pacer) measure(now time.Time, running []framer.RunStatus) {
	p.worst = 0
	p.measured = false
	for _, r := range running {
		target := p.targets[r.RunRef]
		if target > 0 {
			p.worst = max(p.worst, r.Measurement/target)
			p.measured = true
		}
	}
	switch {
	case p.worst <= 1:
		p.overSince = time.Time{}
	case p.overSince.IsZero():
		p.overSince = now
	}
}

// decide returns the paces to change now: while a serving run is over its
// target, those of the runs that press most are cut; while all are well below,
// all are raised by small steps.
func (p *pacer) decide(now time.Time, running []framer.RunStatus) []paceChange {
	if len(p.paces) == 0 || !p.measured || now.Before(p.nextAt) {
		return nil
	}
	patient := p.overSince.IsZero() || now.Sub(p.overSince) < cutAllAfter
	most := 0.0
	for _, r := range running {
		most = max(most, p.pressing(r.RunRef))
	}
	var changes []paceChange
	for _, r := range running {
		pace, ok := p.paces[r.RunRef]
		if !ok {
			continue
		}
		next := p.next(pace, p.pressing(r.RunRef) >= most/2)
		if !patient {
			next = 0
		}
		if next == pace {
			continue
		}
		p.paces[r.RunRef] = next
		changes = append(changes, paceChange{
			ref:     r.RunRef,
			percent: next,
		})
	}
	if len(changes) > 0 {
		p.nextAt = now.Add(paceInterval)
	}
	return changes
}

// pressing is how much a run slows the serving runs at its present pace.
func (p *pacer) pressing(ref framer.RunRef) float64 {
	return p.presses[ref] * float64(p.paces[ref]) / fullPace
}

func (p *pacer) next(pace int, pressesMost bool) int {
	switch {
	case p.worst > 1 && pressesMost:
		return pace / paceCut
	case p.worst < lowLoad:
		return min(fullPace, pace+paceUp)
	default:
		return pace
	}
}
