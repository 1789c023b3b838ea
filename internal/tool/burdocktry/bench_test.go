package burdocktry

import (
	"context"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/tool/burdockload"
	"go.uber.org/zap"
)

// BenchmarkStreams runs every role in one process under 32 open streams, to
// be read with -cpuprofile: the figures of each role alone come from
// tools/measure-path.
func BenchmarkStreams(b *testing.B) {
	f, err := startFleet(zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	defer f.close()
	key := burdockkey.New()
	if err := f.configure(context.Background(), key); err != nil {
		b.Fatal(err)
	}
	if err := f.waitReady(context.Background()); err != nil {
		b.Fatal(err)
	}
	tokens, took := int64(0), time.Duration(0)
	for b.Loop() {
		result, err := burdockload.Run(context.Background(), burdockload.Config{
			Duration: 2 * time.Second, Streams: 32, Seed: 1, Mix: burdockload.Mix{Streamed: 1}, Tokens: 2, StreamTokens: 2000,
			Model: modelName, Keys: []string{key}, Timeout: time.Minute,
		}, f.entries[0].Address())
		if err != nil {
			b.Fatal(err)
		}
		tokens, took = tokens+result.Tokens, took+result.Took
	}
	b.ReportMetric(float64(tokens)/took.Seconds(), "tokens/s")
}
