package state

import (
	"fmt"
	"testing"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// BenchmarkCommandCodec measures encoding and decoding a command of several
// sizes; those of compressMinBytes or more are compressed.
func BenchmarkCommandCodec(b *testing.B) {
	for _, teams := range []int{0, 30, 200} {
		m := testManifest(2, "")
		for i := range teams {
			m.Site.Teams = append(m.Site.Teams, model.Team{ID: model.TeamID(fmt.Sprintf("t%03d", i)), MaxJobs: 100})
			m.Text = fmt.Appendf(m.Text, "[team t%03d]\nmax_jobs = 100\n", i)
		}
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, err := Encode(Command{ID: "1", ApplyManifest: m})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
