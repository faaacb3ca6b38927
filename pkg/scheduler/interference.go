package scheduler

import "time"

const (
	// priorInterference is what a filling task is taken to add to the logarithm of a
	// tail latency for each whole runner that it uses, until that was seen.
	priorInterference = 2.0
	// priorLoad is the logarithm of a serving task's tail latency alone, as a
	// share of its target, until that was seen.
	priorLoad = -0.9
	// priorVariance is how uncertain the priors are, and noise how much the
	// logarithm of a measured tail latency varies by itself.
	priorVariance = 3.0
	noise         = 0.3
	// maxResidual bounds by how much one figure may be off to teach.
	maxResidual = 1.5
	// forgettingFactor makes what was learnt long ago count for less.
	forgettingFactor = 0.998
	// learnInterval is the time that a runner's figures cover; those that come
	// sooner repeat what is known.
	learnInterval = 450 * time.Millisecond
	// headroom is how far below its target, as a logarithm, a serving task
	// must stay by what was learnt for a filling task to come beside it.
	headroom = 0.5
	// negligibleInterference is what a filling task may add wherever it runs.
	negligibleInterference = 0.1
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
	// covariance is the covariance of the weights.
	covariance [][]float64
}

// imageShares is the share of a runner that each filling image uses.
type imageShares map[string]float64

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
	for i := range m.covariance {
		m.covariance[i] = append(m.covariance[i], 0)
	}
	row := make([]float64, size)
	row[size-1] = priorVariance
	m.covariance = append(m.covariance, row)
}

func (m *model) weightIndex(image string) int {
	i, ok := m.index[image]
	if !ok {
		i = len(m.weights)
		m.index[image] = i
		m.grow(priorInterference)
	}
	return i
}

// features turns a mix into the factors of the weights.
func (m *model) features(fillers imageShares) []float64 {
	for image := range fillers {
		m.weightIndex(image)
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
func (n *interference) observe(serving string, fillers imageShares, load float64) {
	m := n.model(serving)
	x := m.features(fillers)
	gain := make([]float64, len(x))
	expected := 0.0
	total := noise * noise
	for i := range x {
		for j := range x {
			gain[i] += m.covariance[i][j] * x[j]
		}
		expected += m.weights[i] * x[i]
		total += gain[i] * x[i]
	}
	// What is far off has causes that the model doesn't know, such as a slow
	// runner, and teaches no more than a lesser miss.
	miss := min(maxResidual, max(-maxResidual, load-expected))
	for i := range x {
		m.weights[i] += gain[i] / total * miss
	}
	for i := range x {
		for j := range x {
			m.covariance[i][j] = min(priorVariance, (m.covariance[i][j]-gain[i]*gain[j]/total)/forgettingFactor)
		}
	}
}

// coefficient is what one more unit of a runner used by an image adds to the
// logarithm of a serving image's tail latency.
func (n *interference) coefficient(serving, filling string) float64 {
	m := n.models[serving]
	if m == nil {
		return priorInterference
	}
	i, ok := m.index[filling]
	if !ok {
		return priorInterference
	}
	return max(0, m.weights[i])
}

// predict is the expected logarithm of a serving image's tail latency, as a share
// of its target, beside fillers.
func (n *interference) predict(serving string, fillers imageShares) float64 {
	load := priorLoad
	if m := n.models[serving]; m != nil {
		load = m.weights[0]
	}
	for image, share := range fillers {
		load += n.coefficient(serving, image) * share
	}
	return load
}

// tolerates tells whether the serving images of a runner are expected to stay
// below their targets when an image comes to use so much more of it.
func (n *interference) tolerates(serving map[string]int, fillers imageShares, image string, share float64) bool {
	for s := range serving {
		added := n.coefficient(s, image) * share
		if added > negligibleInterference && n.predict(s, fillers)+added > -headroom {
			return false
		}
	}
	return true
}
