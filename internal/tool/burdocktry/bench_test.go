package burdocktry

import (
	"context"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/tool/burdockload"
	"go.uber.org/zap"
)

// BenchmarkStreams runs every role in one process with 32 open streams. Use it with
// -cpuprofile; tools/measure-path measures each role separately.
func BenchmarkStreams(b *testing.B) { benchmark(b, burdockload.Config{Streams: 32}) }

// BenchmarkRequests runs every role in one process under 400 short requests per second.
func BenchmarkRequests(b *testing.B) { benchmark(b, burdockload.Config{Rate: 400}) }

func benchmark(b *testing.B, cfg burdockload.Config) {
	f, key := startReadyFleet(b)
	cfg.Duration, cfg.Timeout, cfg.Seed = 2*time.Second, time.Minute, 1
	cfg.Mix, cfg.Model, cfg.Keys = burdockload.Mix{Streamed: 1}, modelName, []string{key}
	cfg.Tokens, cfg.StreamTokens, cfg.Prompt = 2, 2000, 64
	total := burdockload.NewResult()
	for b.Loop() {
		result, err := burdockload.Run(context.Background(), cfg, f.entries[0].Address())
		if err != nil {
			b.Fatal(err)
		}
		total.Merge(result)
	}
	b.ReportMetric(float64(total.Tokens)/total.Took.Seconds(), "tokens/s")
	b.ReportMetric(float64(burdockload.Span(total.FirstToken, 99).Microseconds()), "firstToken-p99-us")
}

// startReadyFleet starts a fleet, waits until it is ready and returns a customer's key.
func startReadyFleet(t testing.TB) (*fleet, string) {
	t.Helper()
	f, err := startFleet(zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	key := burdockkey.New()
	if err := f.configure(context.Background(), key); err != nil {
		t.Fatal(err)
	}
	if err := f.waitReady(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f, key
}
