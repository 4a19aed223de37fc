package control

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// EncodeReport encodes a report for a call between VMs.
func EncodeReport(r *Report) ([]byte, error) { return cbor.Marshal(r) }

// DecodeReport is the inverse of EncodeReport.
func DecodeReport(data []byte) (Report, error) {
	var r Report
	err := cbor.Unmarshal(data, &r)
	return r, err
}

// EncodeWave encodes a wave for a call between VMs.
func EncodeWave(w *workload.Wave) ([]byte, error) { return cbor.Marshal(w) }

// DecodeWave is the inverse of EncodeWave.
func DecodeWave(data []byte) (*workload.Wave, error) {
	w := &workload.Wave{}
	err := cbor.Unmarshal(data, w)
	return w, err
}
