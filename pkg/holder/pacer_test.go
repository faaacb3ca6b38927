package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const testTarget = 20.0

// pacing is a pacer with one serving run and two filling runs beside it, of
// which the first presses.
type pacing struct {
	pacer *pacer
	now   time.Time
}

func newPacing() *pacing {
	p := newPacer()
	p.share([]framer.Sharing{
		{
			RunRef:       ref("serving"),
			TargetMillis: testTarget,
		},
		{
			RunRef:       ref("heavy"),
			Interference: 0.8,
		},
		{
			RunRef:       ref("light"),
			Interference: 0.06,
		},
	})
	return &pacing{
		pacer: p,
		now:   time.Unix(1000, 0),
	}
}

// figure measures a tail latency and returns the new paces by task.
func (p *pacing) figure(tailMillis float64) map[string]int {
	running := []framer.RunStatus{
		{
			RunRef:      ref("serving"),
			Measurement: tailMillis,
		},
		{
			RunRef: ref("heavy"),
		},
		{
			RunRef: ref("light"),
		},
	}
	p.now = p.now.Add(paceInterval)
	p.pacer.measure(p.now, running)
	paces := map[string]int{}
	for _, change := range p.pacer.decide(p.now, running) {
		paces[change.ref.Task] = change.percent
	}
	return paces
}

func TestPaces(t *testing.T) {
	t.Run("stay while the serving run is well", func(t *testing.T) {
		assert.DeepEqual(t, newPacing().figure(testTarget/2), map[string]int{})
	})
	t.Run("of what presses most are cut first", func(t *testing.T) {
		p := newPacing()
		assert.DeepEqual(t, p.figure(2*testTarget), map[string]int{"heavy": fullPace / paceCut})
	})
	t.Run("of the rest are cut while that does not help", func(t *testing.T) {
		p := newPacing()
		p.figure(2 * testTarget)
		paces := p.figure(2 * testTarget)
		assert.Equal(t, paces["light"], 0, "it presses less than half as much still")
		assert.Equal(t, paces["heavy"], fullPace/paceCut/paceCut)
		assert.Equal(t, p.figure(2 * testTarget)["light"], fullPace/paceCut)
	})
	t.Run("are all nought within 2.5 s, whatever was learnt", func(t *testing.T) {
		p := newPacing()
		for range 5 {
			p.figure(2 * testTarget)
		}
		for ref, pace := range p.pacer.paces {
			assert.Equal(t, pace, 0, ref.Task)
		}
	})
	t.Run("rise again by steps", func(t *testing.T) {
		p := newPacing()
		p.figure(2 * testTarget)
		assert.DeepEqual(t, p.figure(testTarget/4), map[string]int{"heavy": fullPace/paceCut + paceUp})
	})
	t.Run("change no more often than figures do", func(t *testing.T) {
		p := newPacing()
		p.figure(2 * testTarget)
		p.now = p.now.Add(-paceInterval)
		assert.DeepEqual(t, p.figure(2*testTarget), map[string]int{})
	})
}
