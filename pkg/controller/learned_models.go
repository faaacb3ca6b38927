package controller

import (
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// modelWriteInterval is the time between two writes of learned models.
	modelWriteInterval = time.Second
	// modelWriteBytes limits what one write adds for them; each entry reads it.
	modelWriteBytes = 16 << 10
	// modelWriteRows limits the models in one write. With the lease row, its
	// expected version and as many jobs as a commit has, the write still has no
	// more than storer.MaxChangeEntries entries.
	modelWriteRows = 8
)

// modelPuts returns the writes of some of the cell's learned interference
// models, if they are due. The next owner loads them: if it had to learn the
// models again, latency-critical tasks would be slowed meanwhile.
func (e *Entry) modelPuts(now time.Time) []storer.Put {
	o := &e.owner
	if o.cell == nil || now.Before(o.nextModelWrite) {
		return nil
	}
	o.nextModelWrite = now.Add(modelWriteInterval)
	puts := nextModels(o.cell.LearnedModels(), o.nextModel, modelWriteBytes)
	o.nextModel += len(puts)
	return puts
}

// nextModels returns the rows of the models from number first on, in turn, at
// most modelWriteRows and as many as have at most limit bytes, but at least one.
func nextModels(models scheduler.LearnedModels, first, limit int) []storer.Put {
	var puts []storer.Put
	size := 0
	for i := range min(modelWriteRows, len(models.Images)) {
		image := models.Images[(first+i)%len(models.Images)]
		value := storer.EncodeCBOR(scheduler.LearnedModels{
			Images: []scheduler.ImageModel{image},
		})
		size += len(value)
		if len(puts) > 0 && size > limit {
			break
		}
		puts = append(puts, storer.Put{
			Key:   modelKey(image.Image),
			Value: value,
		})
	}
	return puts
}

// loadModels loads the models that former owners learned into the cell.
func (e *Entry) loadModels(rows []storer.PartitionedRow) {
	loaded := 0
	for _, row := range rows {
		if !strings.HasPrefix(row.Key.Name, modelPrefix) || row.Deleted {
			continue
		}
		models, err := decodeModels(row)
		if err != nil {
			e.log.Error("learned model skipped: cannot be decoded", "error", err)
			continue
		}
		e.owner.cell.LoadModels(models)
		loaded++
	}
	e.log.Info("learned models loaded", "images", loaded)
}
