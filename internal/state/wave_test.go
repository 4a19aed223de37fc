package state

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// A wave whose start was moved to the next month under the same name must
// maintain its VMs again. It was reported as done without any maintenance, because
// a VM counted as done once any earlier wave of that name had covered it.
func TestWaveNameReusedWithLaterStart(t *testing.T) {
	is := is.New(t)
	wave := &model.Wave{ID: "monthly", Start: 1000}
	done := &model.Maintained{VM: "v1", Wave: "monthly", At: 1500}
	is.True(WaveDone(wave, done))
	is.True(!WaveDone(&model.Wave{ID: "monthly", Start: 2000}, done))
	is.True(!WaveDone(wave, nil))
	is.True(WaveDone(&model.Wave{ID: "other", Start: 1400}, done)) // whichever wave did it
}
