package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// modelWriteInterval is the time between two writes of what the cell learnt.
	modelWriteInterval = 2 * time.Second
	// maxModelBytes bounds its row; a cell that learnt more keeps it to itself.
	maxModelBytes = 48 << 10
)

// modelPuts is what the cell modelPuts of tasks side by side, if it is time to write
// it: the next owner need not find it out at the cost of those that serve.
func (e *Entry) modelPuts(now time.Time) []storer.Put {
	o := &e.owner
	if o.cell == nil || now.Before(o.nextModelWrite) {
		return nil
	}
	o.nextModelWrite = now.Add(modelWriteInterval)
	value := storer.EncodeCBOR(o.cell.LearnedModels())
	if len(value) > maxModelBytes {
		e.log.Warn("what was learnt is too large to keep", "bytes", len(value), "limit", maxModelBytes)
		return nil
	}
	return []storer.Put{{
		Key:   modelsKey(),
		Value: value,
	}}
}

// loadModels hands the cell what its former owner learnt.
func (e *Entry) loadModels(rows []storer.PartitionedRow) {
	for _, row := range rows {
		if row.Key.Name != modelsName || row.Deleted {
			continue
		}
		l, err := decodeModels(row)
		if err != nil {
			e.log.Error("what was learnt passed over", "error", err)
			return
		}
		e.owner.cell.LoadModels(l)
		e.log.Info("learning adopted", "images", len(l.Images), "version", row.Version)
	}
}
