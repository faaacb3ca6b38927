package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// modelWriteInterval is the time between two writes of the learned models.
	modelWriteInterval = 2 * time.Second
	// maxModelBytes limits the size of the learned-models row. Larger models
	// are not stored.
	maxModelBytes = 48 << 10
)

// modelPuts returns the write of the cell's learned interference models, if
// one is due. The next owner loads them: if it had to learn the models again,
// latency-critical tasks would be slowed meanwhile.
func (e *Entry) modelPuts(now time.Time) []storer.Put {
	o := &e.owner
	if o.cell == nil || now.Before(o.nextModelWrite) {
		return nil
	}
	o.nextModelWrite = now.Add(modelWriteInterval)
	value := storer.EncodeCBOR(o.cell.LearnedModels())
	if len(value) > maxModelBytes {
		e.log.Warn("learned models not stored: row too large", "bytes", len(value), "limit", maxModelBytes)
		return nil
	}
	return []storer.Put{{
		Key:   modelsKey(),
		Value: value,
	}}
}

// loadModels loads the models that the former owner learned into the cell.
func (e *Entry) loadModels(rows []storer.PartitionedRow) {
	for _, row := range rows {
		if row.Key.Name != modelsName || row.Deleted {
			continue
		}
		models, err := decodeModels(row)
		if err != nil {
			e.log.Error("learned models row skipped: cannot be decoded", "error", err)
			return
		}
		e.owner.cell.LoadModels(models)
		e.log.Info("learned models loaded", "images", len(models.Images), "version", row.Version)
	}
}
