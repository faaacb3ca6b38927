package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const (
	// learntInterval is the time between two writes of what the cell learnt.
	learntInterval = 2 * time.Second
	// maxLearntBytes bounds its row; a cell that learnt more keeps it to itself.
	maxLearntBytes = 48 << 10
)

// learnt is what the cell learnt of tasks side by side, if it is time to write
// it: the next owner need not find it out at the cost of those that serve.
func (e *Entry) learnt(now time.Time) []storer.Put {
	o := &e.owner
	if o.cell == nil || now.Before(o.nextLearnt) {
		return nil
	}
	o.nextLearnt = now.Add(learntInterval)
	value := storer.EncodeCBOR(o.cell.LearnedModels())
	if len(value) > maxLearntBytes {
		e.log.Warn("what was learnt is too large to keep", "bytes", len(value), "limit", maxLearntBytes)
		return nil
	}
	return []storer.Put{{
		Key:   learntKey(),
		Value: value,
	}}
}

// adopt hands the cell what its former owner learnt.
func (e *Entry) adopt(rows []storer.PartitionedRow) {
	for _, row := range rows {
		if row.Key.Name != learntName || row.Deleted {
			continue
		}
		l, err := decodeLearnt(row)
		if err != nil {
			e.log.Error("what was learnt passed over", "error", err)
			return
		}
		e.owner.cell.LoadModels(l)
		e.log.Info("learning adopted", "images", len(l.Images), "version", row.Version)
	}
}
