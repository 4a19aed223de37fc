package state

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Symptom: from the second month on no VM is maintained, and the wave is told
// to be done. Sequence: the manifest's wave gets a later start under the same
// name. Cause: a VM that went through a wave of that name counted as done
// whenever that was.
func TestNextWaveUnderTheSameName(t *testing.T) {
	is := is.New(t)
	wave := &model.Wave{ID: "monthly", Start: 1000}
	done := &model.Maintained{VM: "v1", Wave: "monthly", At: 1500}
	is.True(WaveDone(wave, done))
	is.True(!WaveDone(&model.Wave{ID: "monthly", Start: 2000}, done))
	is.True(!WaveDone(wave, nil))
	is.True(WaveDone(&model.Wave{ID: "other", Start: 1400}, done)) // whichever wave did it
}
