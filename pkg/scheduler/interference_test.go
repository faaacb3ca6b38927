package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// taught returns what is learnt from noisy figures of two filling images
// beside one serving image: one that presses and one that doesn't.
func taught(figures int) *interference {
	n := newInterference()
	rnd := rand.New(rand.NewPCG(1, 2))
	for range figures {
		fillers := mix{
			"heavy": rnd.Float64() * 0.3,
			"light": rnd.Float64() * 0.3,
		}
		load := -0.8 + 4*fillers["heavy"] + 0.3*rnd.NormFloat64()
		n.observe("feed", fillers, load)
	}
	return n
}

func TestInterferenceIsLearnt(t *testing.T) {
	n := taught(400)
	assert.Assert(t, math.Abs(n.press("feed", "heavy")-4) < 0.7, "got %g", n.press("feed", "heavy"))
	assert.Assert(t, n.press("feed", "light") < 0.5, "got %g", n.press("feed", "light"))
	assert.Assert(t, math.Abs(n.load("feed", mix{})+0.8) < 0.2, "got %g", n.load("feed", mix{}))
}

func TestFillersGoWhereTheyAreBorne(t *testing.T) {
	n := taught(400)
	beside := map[string]int{"feed": 3}
	assert.Assert(t, n.bears(beside, mix{}, "light", 0.2))
	assert.Assert(t, !n.bears(beside, mix{}, "heavy", 0.2))
	assert.Assert(t, n.bears(map[string]int{}, mix{}, "heavy", 0.2), "nothing serves there")
}

func TestASlowRunnerTeachesLittle(t *testing.T) {
	n := taught(60)
	before := n.press("feed", "light")
	// One runner of six, which holds the image, is slow for two seconds.
	for i := range 24 {
		load, fillers := -0.8, mix{}
		if i%6 == 0 {
			load += math.Log(6)
			fillers = mix{"light": 0.2}
		}
		n.observe("feed", fillers, load)
	}
	const notHeavy = 1.5
	assert.Assert(t, n.press("feed", "light") < notHeavy, "was %g, is %g", before, n.press("feed", "light"))
}

func TestTheNextOwnerKnowsWhatWasLearnt(t *testing.T) {
	before := taught(400)
	data, err := cbor.Marshal(before.learnt())
	assert.NilError(t, err)
	var l LearnedModels
	assert.NilError(t, cbor.Unmarshal(data, &l))
	after := newInterference()
	after.adopt(l)
	for _, image := range []string{"heavy", "light", "new"} {
		assert.Equal(t, after.press("feed", image), before.press("feed", image), image)
	}
	t.Run("and learns on", func(t *testing.T) {
		after.observe("feed", mix{"new": 0.2}, 0)
		assert.Assert(t, after.press("feed", "new") > priorPress)
		assert.Equal(t, before.press("feed", "new"), priorPress)
	})
	t.Run("but takes no parts that don't belong together", func(t *testing.T) {
		l.Images[0].Weights = l.Images[0].Weights[1:]
		broken := newInterference()
		broken.adopt(l)
		assert.Equal(t, len(broken.models), 0)
	})
}

func TestUnknownImagesAreTakenToPress(t *testing.T) {
	n := newInterference()
	assert.Equal(t, n.press("feed", "new"), priorPress)
	assert.Assert(t, n.bears(map[string]int{"feed": 1}, mix{}, "new", 0.1))
	assert.Assert(t, !n.bears(map[string]int{"feed": 1}, mix{"new": 0.2}, "new", 0.1))
}

func TestFiguresTeachWhileTasksProgress(t *testing.T) {
	b := newBed(t, "x")
	serving := cores(1, 10_000)
	serving.LongRunning = true
	serving.TargetMillis = 20
	serving.Image = "feed"
	filler := cores(1, 6400)
	filler.BestEffort = true
	filler.Image = "heavy"
	b.add("s", "checks", serving)
	b.add("f", "reviews", filler)
	b.settle()
	b.starts("x")
	running := b.runners["x"].Running
	assert.Equal(t, len(running), 2)
	learn := func(servingFigure float64) {
		for i := range running {
			running[i].Percent = (running[i].Percent + 5) % 100
			running[i].Measurement = 6400
			if running[i].Task == "s.0.0.0" {
				running[i].Measurement = servingFigure
			}
		}
		b.pass(100 * time.Millisecond)
	}
	for range 100 {
		learn(18)
	}
	const pressing = 0.9 - 0.1
	assert.Assert(t, b.cell.interference.press("feed", "heavy")*0.2 > pressing/2, "got %g", b.cell.interference.press("feed", "heavy"))
	t.Run("but a figure of nought teaches nothing", func(t *testing.T) {
		before := b.cell.interference.load("feed", mix{})
		learn(0)
		assert.Equal(t, b.cell.interference.load("feed", mix{}), before)
	})
}
