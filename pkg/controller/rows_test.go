package controller

import (
	"math"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

func newTestCell() *scheduler.Cell {
	return scheduler.NewCell(scheduler.Config{
		Epoch:  1,
		Assert: asserter.New(func(string, ...any) {}),
	})
}

// applyRow applies a row's value as each kind of row, and what the cache then has
// to a cell, like an entry that acquires the cell.
func applyRow(value []byte) *jobCache {
	c := newJobCache(hclog.NewNullLogger(), 0)
	cell := newTestCell()
	for _, key := range []storer.Key{jobKey("j"), progressKey("j"), leaseKey()} {
		row := storer.PartitionedRow{
			Key:     key,
			Version: 3,
			Value:   value,
		}
		c.applyJob(start, row)
		c.applyCell(row)
	}
	if models, err := decodeModels(storer.PartitionedRow{Value: value}); err == nil {
		cell.LoadModels(models)
	}
	for _, v := range c.jobs {
		if v.hasSpec {
			cell.Load(start, v.spec, v.progress)
			cell.Add(start, v.spec)
		}
	}
	cell.Tick(start, true)
	return c
}

// A row that one process cannot use must not end each owner in turn.
func TestMalformedJobRowIsSkipped(t *testing.T) {
	rows := map[string]scheduler.Spec{
		"a negative count": {
			ID:    "j",
			Steps: []scheduler.Step{{Count: -1}},
		},
		"too many tasks": {
			ID:    "j",
			Steps: []scheduler.Step{{Count: 1 << 40}},
		},
		"too many occurrences": {
			ID:       "j",
			RunCount: 1 << 62,
			Steps:    []scheduler.Step{{Count: 4}},
		},
		"a dependency on itself": {
			ID:    "j",
			Steps: []scheduler.Step{{Count: 1, After: []int{0}}},
		},
	}
	for name, spec := range rows {
		t.Run(name, func(t *testing.T) {
			c := applyRow(storer.EncodeCBOR(spec))
			assert.Assert(t, c.jobs["j"] == nil || !c.jobs["j"].hasSpec)
		})
	}
	t.Run("the tombstone of an id is not malformed", func(t *testing.T) {
		c := applyRow(storer.EncodeCBOR(scheduler.Spec{
			ID:        "j",
			Tombstone: true,
		}))
		assert.Assert(t, c.jobs["j"].hasSpec)
	})
}

func TestModelWithoutFiniteNumbersIsSkipped(t *testing.T) {
	models := manyModels(1, 2)
	models.Images[0].Weights[1] = math.NaN()
	cell := newTestCell()
	cell.LoadModels(models)
	assert.Equal(t, len(cell.LearnedModels().Images), 0)
}

func FuzzRows(f *testing.F) {
	f.Add(storer.EncodeCBOR(scheduler.Spec{
		ID:    "j",
		Steps: []scheduler.Step{{Count: 2}, {Count: 1, After: []int{0}}},
	}))
	f.Add(storer.EncodeCBOR(scheduler.Progress{
		State: scheduler.StateRunning,
		Tasks: []scheduler.TaskProgress{{Run: 1, RunnerID: "i-1", Address: "10.0.0.1:80"}},
	}))
	f.Add(storer.EncodeCBOR(manyModels(1, 2)))
	f.Fuzz(func(_ *testing.T, value []byte) { applyRow(value) })
}
