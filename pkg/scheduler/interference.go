package scheduler

import "time"

const (
	// priorPress is what a filling task is taken to add to the logarithm of a
	// tail latency for each whole runner that it uses, until that was seen.
	priorPress = 2.0
	// priorLoad is the logarithm of a serving task's tail latency alone, as a
	// share of its target, until that was seen.
	priorLoad = -0.9
	// priorSpread is how uncertain the priors are, and noise how much the
	// logarithm of a measured tail latency varies by itself.
	priorSpread = 3.0
	noise       = 0.3
	// mostMiss bounds by how much one figure may be off to teach.
	mostMiss = 1.5
	// forgetting makes what was learnt long ago count for less.
	forgetting = 0.998
	// learnInterval is the time that a runner's figures cover; those that come
	// sooner repeat what is known.
	learnInterval = 450 * time.Millisecond
	// headroom is how far below its target, as a logarithm, a serving task
	// must stay by what was learnt for a filling task to come beside it.
	headroom = 0.5
	// lightPress is what a filling task may add wherever it runs.
	lightPress = 0.1
)

// interference learns how much the filling tasks of an image slow the serving
// tasks of another: by recursive least squares on the logarithm of the tail
// latency as a share of its target, one model for each serving image.
type interference struct {
	models map[string]*model
}

// model is what was learnt of one serving image. The first weight is its load
// alone; each filling image adds one.
type model struct {
	index   map[string]int
	weights []float64
	// spread is the covariance of the weights.
	spread [][]float64
}

// mix is the share of a runner that each filling image uses.
type mix map[string]float64

func newInterference() *interference {
	return &interference{
		models: map[string]*model{},
	}
}

func (n *interference) model(image string) *model {
	m := n.models[image]
	if m == nil {
		m = &model{
			index: map[string]int{},
		}
		m.grow(priorLoad)
		n.models[image] = m
	}
	return m
}

// grow adds a weight that nothing is known of but its prior.
func (m *model) grow(prior float64) {
	m.weights = append(m.weights, prior)
	size := len(m.weights)
	for i := range m.spread {
		m.spread[i] = append(m.spread[i], 0)
	}
	row := make([]float64, size)
	row[size-1] = priorSpread
	m.spread = append(m.spread, row)
}

func (m *model) at(image string) int {
	i, ok := m.index[image]
	if !ok {
		i = len(m.weights)
		m.index[image] = i
		m.grow(priorPress)
	}
	return i
}

// features turns a mix into the factors of the weights.
func (m *model) features(fillers mix) []float64 {
	for image := range fillers {
		m.at(image)
	}
	x := make([]float64, len(m.weights))
	x[0] = 1
	for image, share := range fillers {
		x[m.index[image]] = share
	}
	return x
}

// mean is the mean of some values.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(value float64) {
	m.sum += value
	m.count++
}

func (m *mean) value() float64 {
	return m.sum / float64(max(1, m.count))
}

// observe learns from one measured tail latency, as the logarithm of its share
// of the target.
func (n *interference) observe(serving string, fillers mix, load float64) {
	m := n.model(serving)
	x := m.features(fillers)
	gain := make([]float64, len(x))
	expected := 0.0
	total := noise * noise
	for i := range x {
		for j := range x {
			gain[i] += m.spread[i][j] * x[j]
		}
		expected += m.weights[i] * x[i]
		total += gain[i] * x[i]
	}
	// What is far off has causes that the model doesn't know, such as a slow
	// runner, and teaches no more than a lesser miss.
	miss := min(mostMiss, max(-mostMiss, load-expected))
	for i := range x {
		m.weights[i] += gain[i] / total * miss
	}
	for i := range x {
		for j := range x {
			m.spread[i][j] = min(priorSpread, (m.spread[i][j]-gain[i]*gain[j]/total)/forgetting)
		}
	}
}

// press is what one more unit of a runner used by an image adds to the
// logarithm of a serving image's tail latency.
func (n *interference) press(serving, filling string) float64 {
	m := n.models[serving]
	if m == nil {
		return priorPress
	}
	i, ok := m.index[filling]
	if !ok {
		return priorPress
	}
	return max(0, m.weights[i])
}

// load is the expected logarithm of a serving image's tail latency, as a share
// of its target, beside fillers.
func (n *interference) load(serving string, fillers mix) float64 {
	load := priorLoad
	if m := n.models[serving]; m != nil {
		load = m.weights[0]
	}
	for image, share := range fillers {
		load += n.press(serving, image) * share
	}
	return load
}

// bears tells whether the serving images of a runner are expected to stay
// below their targets when an image comes to use so much more of it.
func (n *interference) bears(serving map[string]int, fillers mix, image string, share float64) bool {
	for s := range serving {
		added := n.press(s, image) * share
		if added > lightPress && n.load(s, fillers)+added > -headroom {
			return false
		}
	}
	return true
}
