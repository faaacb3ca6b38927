package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// trainedModel returns a model trained with noisy measurements of two
// best-effort images next to one latency-critical image: one that interferes
// and one that does not.
func trainedModel(measurements int) *interference {
	n := newInterference()
	rnd := rand.New(rand.NewPCG(1, 2))
	for range measurements {
		shares := imageShares{
			"heavy": rnd.Float64() * 0.3,
			"light": rnd.Float64() * 0.3,
		}
		load := -0.8 + 4*shares["heavy"] + 0.3*rnd.NormFloat64()
		n.observe("feed", shares, load)
	}
	return n
}

func TestInterferenceModelConverges(t *testing.T) {
	n := trainedModel(400)
	assert.Assert(t, math.Abs(n.coefficient("feed", "heavy")-4) < 0.7, "got %g", n.coefficient("feed", "heavy"))
	assert.Assert(t, n.coefficient("feed", "light") < 0.5, "got %g", n.coefficient("feed", "light"))
	assert.Assert(t, math.Abs(n.predict("feed", imageShares{})+0.8) < 0.2, "got %g", n.predict("feed", imageShares{}))
}

func TestBestEffortPlacementKeepsTargets(t *testing.T) {
	n := trainedModel(400)
	criticalImages := map[string]int{"feed": 3}
	assert.Assert(t, n.tolerates(criticalImages, imageShares{}, "light", 0.2))
	assert.Assert(t, !n.tolerates(criticalImages, imageShares{}, "heavy", 0.2))
	assert.Assert(t, n.tolerates(map[string]int{}, imageShares{}, "heavy", 0.2), "the runner has no latency-critical tasks")
}

// The tail latency on a slow runner rises for reasons that are not in the
// model. It must not make a harmless image count as one that interferes.
func TestOutliersChangeModelLittle(t *testing.T) {
	n := trainedModel(60)
	before := n.coefficient("feed", "light")
	// One runner of six, which has the image, is slow for two seconds.
	for i := range 24 {
		load, shares := -0.8, imageShares{}
		if i%6 == 0 {
			load += math.Log(6)
			shares = imageShares{"light": 0.2}
		}
		n.observe("feed", shares, load)
	}
	const maxCoefficient = 1.5
	assert.Assert(t, n.coefficient("feed", "light") < maxCoefficient, "was %g, is %g", before, n.coefficient("feed", "light"))
}

func TestModelsSurviveChangeOfOwner(t *testing.T) {
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
	t.Run("and can be updated further", func(t *testing.T) {
		after.observe("feed", imageShares{"new": 0.2}, 0)
		assert.Assert(t, after.coefficient("feed", "new") > priorInterference)
		assert.Equal(t, before.coefficient("feed", "new"), priorInterference)
	})
	t.Run("but inconsistent models are not loaded", func(t *testing.T) {
		l.Images[0].Weights = l.Images[0].Weights[1:]
		broken := newInterference()
		broken.restore(l)
		assert.Equal(t, len(broken.models), 0)
	})
}

func TestUnknownImagesUsePriorInterference(t *testing.T) {
	n := newInterference()
	assert.Equal(t, n.coefficient("feed", "new"), priorInterference)
	assert.Assert(t, n.tolerates(map[string]int{"feed": 1}, imageShares{}, "new", 0.1))
	assert.Assert(t, !n.tolerates(map[string]int{"feed": 1}, imageShares{"new": 0.2}, "new", 0.1))
}

func TestMeasurementsUpdateModelsWhileTasksProgress(t *testing.T) {
	h := newCellHarness(t, "x")
	critical := newStep(1, 10_000)
	critical.LongRunning = true
	critical.TargetMillis = 20
	critical.Image = "feed"
	bestEffort := newStep(1, 6400)
	bestEffort.BestEffort = true
	bestEffort.Image = "heavy"
	h.add("s", "checks", critical)
	h.add("f", "reviews", bestEffort)
	h.tickUntilIdle()
	h.acceptStarts("x")
	running := h.runners["x"].Running
	assert.Equal(t, len(running), 2)
	advance := func(latency float64) {
		for i := range running {
			running[i].Percent = (running[i].Percent + 5) % 100
			running[i].Measurement = 6400
			if running[i].Task == "s.0.0.0" {
				running[i].Measurement = latency
			}
		}
		h.advance(100 * time.Millisecond)
	}
	for range 100 {
		advance(18)
	}
	// The measured ratio to the target, 18 to 20, has the logarithm -0.1; the
	// prior without co-located tasks is -0.9.
	const increase = 0.9 - 0.1
	assert.Assert(t, h.cell.interference.coefficient("feed", "heavy")*0.2 > increase/2, "got %g", h.cell.interference.coefficient("feed", "heavy"))
	t.Run("but a measurement of zero is ignored", func(t *testing.T) {
		before := h.cell.interference.predict("feed", imageShares{})
		advance(0)
		assert.Equal(t, h.cell.interference.predict("feed", imageShares{}), before)
	})
}
