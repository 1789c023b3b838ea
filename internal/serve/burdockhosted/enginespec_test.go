package burdockhosted

import (
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// All VMs start again after a power cut. The agents must know their engines' figures
// without reading the whole configuration of the site, which would fill the store's link.
func TestAgentsReadEngineRecord(t *testing.T) {
	store := newFakeKV()
	want := burdocksite.Engine{Slots: 6, Layers: 10, Experts: 384, ExpertSlots: 3, BaseStepMillis: 4.55, ExpertBytes: 1 << 30}
	cfg := &burdocksite.Config{Version: 1}
	cfg.Services = map[burdockid.Service]burdocksite.Service{"s": {Name: "s", Engine: &want}}
	writer := newEngineSpec(store, "s", func() *burdocksite.Config { return cfg }, zap.NewNop())
	holder := newLeaseAgentAt(store, burdockrank.Assignment{Group: "g" + epochSeparator + "1", Ranks: 1})
	holder.announcement = writer.announcement
	calls := store.calls
	if _, err := holder.acquire("a"); err != nil {
		t.Fatal(err)
	}
	if got, want := store.calls-calls, 2; got != want { // a lease and a write
		t.Errorf("calls of the new controller: got %d, want %d", got, want)
	}
	reader := newEngineSpec(store, "s", func() *burdocksite.Config { return nil }, zap.NewNop())
	if !reader.readRecord() || *reader.current() != want {
		t.Errorf("read: got %+v, want %+v", reader.current(), want)
	}
	other := newEngineSpec(store, "t", func() *burdocksite.Config { return nil }, zap.NewNop())
	if other.readRecord() || other.current() != nil {
		t.Errorf("another service: got %+v, want none", other.current())
	}
}

// A record that can't be used must not keep an agent from reading the configuration.
func TestUnreadableEngineRecord(t *testing.T) {
	for _, value := range []string{"", "{", `{"layers":"ten"}`, `{"layers":0}`, `[]`} {
		store := newFakeKV()
		_, _ = store.Write(context.Background(), nil, []burdockkv.Put{{Key: prefixEngine + "s", Value: []byte(value)}})
		s := newEngineSpec(store, "s", func() *burdocksite.Config { return nil }, zap.NewNop())
		if s.readRecord() || s.current() != nil {
			t.Errorf("record %q: got %+v, want none", value, s.current())
		}
	}
}
