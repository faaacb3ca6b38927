package scheduler

import (
	"maps"
	"math"
	"slices"
)

// LearnedModels holds a cell's interference models for its next owner.
type LearnedModels struct {
	Images []ImageModel `cbor:"images"`
}

// ImageModel is the learned model of one latency-critical image.
type ImageModel struct {
	Image string `cbor:"image"`
	// BestEffortImages names the best-effort images of all weights but the first.
	BestEffortImages []string  `cbor:"fillers"`
	Weights          []float64 `cbor:"weights"`
	// Covariance is the lower triangle of the covariance matrix of the weights,
	// row by row.
	Covariance []float32 `cbor:"covariance"`
}

// snapshot returns a copy of all models.
func (n *interference) snapshot() LearnedModels {
	var l LearnedModels
	for _, image := range slices.Sorted(maps.Keys(n.models)) {
		m := n.models[image]
		row := ImageModel{
			Image:            image,
			BestEffortImages: make([]string, len(m.index)),
			Weights:          slices.Clone(m.weights),
		}
		for bestEffortImage, i := range m.index {
			row.BestEffortImages[i-1] = bestEffortImage
		}
		for i, covariance := range m.covariance {
			for _, value := range covariance[:i+1] {
				row.Covariance = append(row.Covariance, float32(value))
			}
		}
		l.Images = append(l.Images, row)
	}
	return l
}

// consistent reports whether the sizes of the model's fields match and all
// numbers are finite.
func (l *ImageModel) consistent() bool {
	size := len(l.BestEffortImages) + 1
	if len(l.Weights) != size || len(l.Covariance) != size*(size+1)/2 {
		return false
	}
	for _, weight := range l.Weights {
		if !finite(weight) {
			return false
		}
	}
	for _, value := range l.Covariance {
		if !finite(float64(value)) {
			return false
		}
	}
	return true
}

func finite(v float64) bool {
	return !math.IsNaN(v) && !math.IsInf(v, 0)
}

// matrix returns the whole covariance matrix.
func (l *ImageModel) matrix() [][]float64 {
	matrix := make([][]float64, len(l.Weights))
	for i := range matrix {
		matrix[i] = make([]float64, len(matrix))
	}
	n := 0
	for i := range matrix {
		for j := range i + 1 {
			matrix[i][j] = float64(l.Covariance[n])
			matrix[j][i] = matrix[i][j]
			n++
		}
	}
	return matrix
}

// restore replaces the models of these images by those of a former owner.
// Inconsistent models are skipped.
func (n *interference) restore(l LearnedModels) {
	for _, image := range l.Images {
		if !image.consistent() {
			continue
		}
		m := &model{
			index:      map[string]int{},
			weights:    image.Weights,
			covariance: image.matrix(),
		}
		for i, bestEffortImage := range image.BestEffortImages {
			m.index[bestEffortImage] = i + 1
			if !slices.Contains(n.bestEffortImages, bestEffortImage) {
				n.bestEffortImages = append(n.bestEffortImages, bestEffortImage)
			}
		}
		n.models[image.Image] = m
	}
}
