package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// trainedModel returns what is learnt from noisy figures of two filling images
// beside one serving image: one that presses and one that doesn't.
func trainedModel(figures int) *interference {
	n := newInterference()
	rnd := rand.New(rand.NewPCG(1, 2))
	for range figures {
		fillers := imageShares{
			"heavy": rnd.Float64() * 0.3,
			"light": rnd.Float64() * 0.3,
		}
		load := -0.8 + 4*fillers["heavy"] + 0.3*rnd.NormFloat64()
		n.observe("feed", fillers, load)
	}
	return n
}

func TestInterferenceIsLearnt(t *testing.T) {
	n := trainedModel(400)
	assert.Assert(t, math.Abs(n.coefficient("feed", "heavy")-4) < 0.7, "got %g", n.coefficient("feed", "heavy"))
	assert.Assert(t, n.coefficient("feed", "light") < 0.5, "got %g", n.coefficient("feed", "light"))
	assert.Assert(t, math.Abs(n.predict("feed", imageShares{})+0.8) < 0.2, "got %g", n.predict("feed", imageShares{}))
}

func TestFillersGoWhereTheyAreBorne(t *testing.T) {
	n := trainedModel(400)
	beside := map[string]int{"feed": 3}
	assert.Assert(t, n.tolerates(beside, imageShares{}, "light", 0.2))
	assert.Assert(t, !n.tolerates(beside, imageShares{}, "heavy", 0.2))
	assert.Assert(t, n.tolerates(map[string]int{}, imageShares{}, "heavy", 0.2), "nothing serves there")
}

func TestASlowRunnerTeachesLittle(t *testing.T) {
	n := trainedModel(60)
	before := n.coefficient("feed", "light")
	// One runner of six, which holds the image, is slow for two seconds.
	for i := range 24 {
		load, fillers := -0.8, imageShares{}
		if i%6 == 0 {
			load += math.Log(6)
			fillers = imageShares{"light": 0.2}
		}
		n.observe("feed", fillers, load)
	}
	const notHeavy = 1.5
	assert.Assert(t, n.coefficient("feed", "light") < notHeavy, "was %g, is %g", before, n.coefficient("feed", "light"))
}

func TestTheNextOwnerKnowsWhatWasLearnt(t *testing.T) {
	before := trainedModel(400)
	data, err := cbor.Marshal(before.snapshot())
	assert.NilError(t, err)
	var l LearnedModels
	assert.NilError(t, cbor.Unmarshal(data, &l))
	after := newInterference()
	after.restore(l)
	for _, image := range []string{"heavy", "light", "new"} {
		assert.Equal(t, after.coefficient("feed", image), before.coefficient("feed", image), image)
	}
	t.Run("and learns on", func(t *testing.T) {
		after.observe("feed", imageShares{"new": 0.2}, 0)
		assert.Assert(t, after.coefficient("feed", "new") > priorInterference)
		assert.Equal(t, before.coefficient("feed", "new"), priorInterference)
	})
	t.Run("but takes no parts that don't belong together", func(t *testing.T) {
		l.Images[0].Weights = l.Images[0].Weights[1:]
		broken := newInterference()
		broken.restore(l)
		assert.Equal(t, len(broken.models), 0)
	})
}

func TestUnknownImagesAreTakenToPress(t *testing.T) {
	n := newInterference()
	assert.Equal(t, n.coefficient("feed", "new"), priorInterference)
	assert.Assert(t, n.tolerates(map[string]int{"feed": 1}, imageShares{}, "new", 0.1))
	assert.Assert(t, !n.tolerates(map[string]int{"feed": 1}, imageShares{"new": 0.2}, "new", 0.1))
}

func TestFiguresTeachWhileTasksProgress(t *testing.T) {
	b := newCellFixture(t, "x")
	serving := newStep(1, 10_000)
	serving.LongRunning = true
	serving.TargetMillis = 20
	serving.Image = "feed"
	filler := newStep(1, 6400)
	filler.BestEffort = true
	filler.Image = "heavy"
	b.add("s", "checks", serving)
	b.add("f", "reviews", filler)
	b.tickUntilIdle()
	b.acceptStarts("x")
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
		b.advance(100 * time.Millisecond)
	}
	for range 100 {
		learn(18)
	}
	const pressing = 0.9 - 0.1
	assert.Assert(t, b.cell.interference.coefficient("feed", "heavy")*0.2 > pressing/2, "got %g", b.cell.interference.coefficient("feed", "heavy"))
	t.Run("but a figure of nought teaches nothing", func(t *testing.T) {
		before := b.cell.interference.predict("feed", imageShares{})
		learn(0)
		assert.Equal(t, b.cell.interference.predict("feed", imageShares{}), before)
	})
}
