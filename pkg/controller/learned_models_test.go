package controller

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// manyModels returns learned models of many images, each with many best-effort
// images.
func manyModels(images, bestEffortImages int) scheduler.LearnedModels {
	size := bestEffortImages + 1
	var l scheduler.LearnedModels
	for i := range images {
		model := scheduler.ImageModel{
			Image:      fmt.Sprintf("critical-image-%d", i),
			Weights:    make([]float64, size),
			Covariance: make([]float32, size*(size+1)/2),
		}
		for n := range bestEffortImages {
			model.BestEffortImages = append(model.BestEffortImages, fmt.Sprintf("best-effort-image-%d", n))
		}
		for n := range model.Covariance {
			model.Covariance[n] = 0.1
		}
		l.Images = append(l.Images, model)
	}
	return l
}

// With the images of hundreds of instances, all models together are larger than
// a row may be.
func TestModelsOfManyImagesAreStored(t *testing.T) {
	const maxRowBytes = 64 << 10
	models := manyModels(40, 60)
	stored := map[string]bool{}
	next := 0
	for range 40 {
		puts := nextModels(models, next, modelWriteBytes)
		next += len(puts)
		size := 0
		for _, put := range puts {
			stored[put.Key.Name] = true
			size += len(put.Value)
			assert.Assert(t, len(put.Value) < maxRowBytes)
		}
		assert.Assert(t, len(puts) == 1 || size <= modelWriteBytes)
	}
	assert.Equal(t, len(stored), 40)
}

func TestNoModelsNoWrites(t *testing.T) {
	assert.Equal(t, len(nextModels(scheduler.LearnedModels{}, 3, modelWriteBytes)), 0)
}
