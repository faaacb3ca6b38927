package scheduler

import (
	"slices"
	"time"
)

const (
	// priorInterference is the prior estimate of how much a best-effort task
	// adds to the logarithm of a tail latency for each whole runner that it
	// uses, in force until measurements are available.
	priorInterference = 2.0
	// priorLoad is the prior estimate of the logarithm of a latency-critical
	// task's tail latency without co-located tasks, as a ratio to its target.
	priorLoad = -0.9
	// priorVariance is the variance of the priors, and noise is the standard
	// deviation of the logarithm of a measured tail latency.
	priorVariance = 3.0
	noise         = 0.3
	// maxResidual bounds the prediction error that a single measurement
	// contributes to an update.
	maxResidual = 1.5
	// forgettingFactor discounts older measurements at each update.
	forgettingFactor = 0.998
	// learnInterval is the minimum time between two updates with measurements
	// of one runner. It is just below the half second that a measurement
	// covers, since those that arrive sooner mostly repeat earlier ones.
	learnInterval = 450 * time.Millisecond
	// headroom is how far below its target, as a logarithm, the predicted tail
	// latency of a latency-critical task must stay for a best-effort task to be
	// placed next to it.
	headroom = 0.5
	// negligibleInterference is the predicted increase of the logarithm of a
	// tail latency up to which a best-effort task is placed without a check of
	// the headroom.
	negligibleInterference = 0.1
)

// interference estimates how much the best-effort tasks of an image slow the
// latency-critical tasks of another. It uses recursive least squares on the
// logarithm of the tail latency as a ratio to its target, with one model for
// each latency-critical image.
type interference struct {
	models map[string]*model
	// bestEffortImages lists the best-effort images of all models in the order
	// of their discovery.
	bestEffortImages []string
}

// model is the linear model of one latency-critical image. The first weight is
// the intercept, the load without co-located tasks; each best-effort image adds
// one weight.
type model struct {
	index   map[string]int
	weights []float64
	// covariance is the covariance matrix of the weights.
	covariance [][]float64
}

// imageShares maps each best-effort image to the share of a runner that it
// uses.
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

// grow adds a weight with a prior and no observations.
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

// addImages adds weights for new best-effort images.
func (n *interference) addImages(m *model, shares imageShares) {
	for image := range shares {
		if _, ok := m.index[image]; ok {
			continue
		}
		m.index[image] = len(m.weights)
		m.grow(priorInterference)
		if !slices.Contains(n.bestEffortImages, image) {
			n.bestEffortImages = append(n.bestEffortImages, image)
		}
	}
}

// features returns the regressors of the weights: 1 for the intercept and the
// share of each best-effort image.
func (m *model) features(shares imageShares) []float64 {
	x := make([]float64, len(m.weights))
	x[0] = 1
	for image, share := range shares {
		x[m.index[image]] = share
	}
	return x
}

// mean accumulates an arithmetic mean.
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

// observe updates a model with one measured tail latency, given as the
// logarithm of its ratio to the target.
func (n *interference) observe(criticalImage string, shares imageShares, load float64) {
	m := n.model(criticalImage)
	n.addImages(m, shares)
	x := m.features(shares)
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
	// Large residuals have causes that are not in the model, such as a slow
	// runner. They are clipped, so that one measurement cannot distort the
	// weights.
	residual := min(maxResidual, max(-maxResidual, load-expected))
	for i := range x {
		m.weights[i] += gain[i] / total * residual
	}
	for i := range x {
		for j := range x {
			m.covariance[i][j] = min(priorVariance, (m.covariance[i][j]-gain[i]*gain[j]/total)/forgettingFactor)
		}
	}
}

// coefficient returns how much one more whole runner used by a best-effort
// image adds to the logarithm of a latency-critical image's tail latency. It is
// never negative.
func (n *interference) coefficient(criticalImage, bestEffortImage string) float64 {
	m := n.models[criticalImage]
	if m == nil {
		return priorInterference
	}
	i, ok := m.index[bestEffortImage]
	if !ok {
		return priorInterference
	}
	return max(0, m.weights[i])
}

// predict returns the expected logarithm of a latency-critical image's tail
// latency, as a ratio to its target, next to the given best-effort images.
func (n *interference) predict(criticalImage string, shares imageShares) float64 {
	load := priorLoad
	if m := n.models[criticalImage]; m != nil {
		load = m.weights[0]
	}
	for image, share := range shares {
		load += n.coefficient(criticalImage, image) * share
	}
	return load
}

// tolerates reports whether a best-effort image may use an additional share of
// a runner: each latency-critical image there is expected to stay below its
// target by the headroom, or to be slowed no more than negligibly.
func (n *interference) tolerates(criticalImages map[string]int, shares imageShares, image string, share float64) bool {
	for critical := range criticalImages {
		added := n.coefficient(critical, image) * share
		if added > negligibleInterference && n.predict(critical, shares)+added > -headroom {
			return false
		}
	}
	return true
}
