package logger

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRunWritesQueuedLines(t *testing.T) {
	w := NewLineWriter()
	for _, line := range []string{"one\n", "two\n"} {
		n, err := w.Write([]byte(line))
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	assert.NilError(t, w.Run(ctx, &out))
	assert.Equal(t, out.String(), "one\ntwo\n")
}

func TestLinesDroppedWhenQueueFull(t *testing.T) {
	w := NewLineWriter()
	for range maxQueuedLines + 10 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() >= 10)
}
