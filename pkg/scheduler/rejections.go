package scheduler

const (
	// typicalShare is the share of a runner that a best-effort task is assumed
	// to use when images are compared.
	typicalShare = 0.1
	// unknownRejection is the assumed probability that a latency-critical image
	// does not tolerate a best-effort image next to which it was never measured.
	unknownRejection = 0.5
	// trustedVariance is the variance of a coefficient up to which it counts as
	// measured.
	trustedVariance = priorVariance / 4
)

// rejections estimates which best-effort images can no longer be placed next to
// a latency-critical one. It caches what the models say; reset drops that.
type rejections struct {
	models *interference
	// byImage holds for each latency-critical image the probability that it does
	// not tolerate each of the best-effort images, in the order of their
	// discovery.
	byImage map[string][]float64
}

func newRejections(models *interference) *rejections {
	return &rejections{
		models:  models,
		byImage: map[string][]float64{},
	}
}

func (r *rejections) reset() {
	clear(r.byImage)
}

// of returns the probabilities for one latency-critical image.
func (r *rejections) of(critical string) []float64 {
	list, ok := r.byImage[critical]
	if ok {
		return list
	}
	list = make([]float64, max(1, len(r.models.bestEffortImages)))
	for i := range list {
		list[i] = unknownRejection
	}
	for i, image := range r.models.bestEffortImages {
		list[i] = r.models.rejection(critical, image)
	}
	r.byImage[critical] = list
	return list
}

// added returns how many more best-effort images a runner is expected to reject
// once a latency-critical image joins those present.
func (r *rejections) added(critical string, present map[string]int) float64 {
	if present[critical] > 0 {
		return 0
	}
	total := 0.0
	for i, probability := range r.of(critical) {
		for image := range present {
			probability *= 1 - r.of(image)[i]
		}
		total += probability
	}
	return total
}

// rejection returns the probability that a latency-critical image does not
// tolerate a best-effort image.
func (n *interference) rejection(critical, bestEffort string) float64 {
	m := n.models[critical]
	if m == nil {
		return unknownRejection
	}
	i, ok := m.index[bestEffort]
	if !ok || m.covariance[i][i] > trustedVariance {
		return unknownRejection
	}
	added := max(0, m.weights[i]) * typicalShare
	if added > negligibleInterference && m.weights[0]+added > -headroom {
		return 1
	}
	return 0
}
