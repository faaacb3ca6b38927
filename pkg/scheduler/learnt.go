package scheduler

import (
	"maps"
	"slices"
)

// LearnedModels is what a cell learnt of tasks side by side, for its next owner.
type LearnedModels struct {
	Images []ImageModel `cbor:"images"`
}

// ImageModel is what was learnt of one serving image.
type ImageModel struct {
	Image string `cbor:"image"`
	// Fillers names the filling images of all weights but the first.
	Fillers []string    `cbor:"fillers"`
	Weights []float64   `cbor:"weights"`
	Spread  [][]float64 `cbor:"spread"`
}

// snapshot returns a copy of what is known.
func (n *interference) snapshot() LearnedModels {
	var l LearnedModels
	for _, image := range slices.Sorted(maps.Keys(n.models)) {
		m := n.models[image]
		row := ImageModel{
			Image:   image,
			Fillers: make([]string, len(m.index)),
			Weights: slices.Clone(m.weights),
		}
		for filler, i := range m.index {
			row.Fillers[i-1] = filler
		}
		for _, spread := range m.covariance {
			row.Spread = append(row.Spread, slices.Clone(spread))
		}
		l.Images = append(l.Images, row)
	}
	return l
}

// consistent tells whether the parts of what was learnt belong together.
func (l *ImageModel) consistent() bool {
	size := len(l.Fillers) + 1
	if len(l.Weights) != size || len(l.Spread) != size {
		return false
	}
	return !slices.ContainsFunc(l.Spread, func(row []float64) bool { return len(row) != size })
}

// restore takes what a former owner learnt.
func (n *interference) restore(l LearnedModels) {
	for _, image := range l.Images {
		if !image.consistent() {
			continue
		}
		m := &model{
			index:      map[string]int{},
			weights:    image.Weights,
			covariance: image.Spread,
		}
		for i, filler := range image.Fillers {
			m.index[filler] = i + 1
		}
		n.models[image.Image] = m
	}
}
