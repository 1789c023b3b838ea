package burdocktry

import (
	"fmt"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockprocess"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockstandin"
	"go.uber.org/zap"
)

const (
	anyPort = "127.0.0.1:0"

	replicas    = 3
	plainAgents = 1
	entryCount  = 2
	slots       = 16

	modelService burdockid.Service = "llm-pool"
	plainService burdockid.Service = "bench-api"
	modelName                      = "netlist-writer"
)

var dataCentres = []burdockid.DataCentre{"gua-hall-a", "gua-hall-b", "gua-hall-c"}

// fleet holds an instance of every role and stand-in in one process.
type fleet struct {
	standins       []*burdockstandin.Running
	store          *burdockstandin.Running
	membershipList *burdockstandin.Running
	agents         []*burdockprocess.Agent
	entries        []*burdockprocess.Entry
	members        burdockmember.Fleet
	log            *zap.Logger
}

// startFleet starts the stand-ins, then agents and entries.
func startFleet(log *zap.Logger) (*fleet, error) {
	f := &fleet{log: log}
	steps := []func() error{f.startPlatform, f.startAgents, f.startEntries}
	for _, step := range steps {
		if err := step(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) startStandin(cfg burdockstandin.Config) (*burdockstandin.Running, error) {
	cfg.Address = anyPort
	running, err := burdockstandin.Start(cfg)
	if err == nil {
		f.standins = append(f.standins, running)
	}
	return running, err
}

func (f *fleet) startPlatform() (err error) {
	if f.store, err = f.startStandin(burdockstandin.Config{Kind: burdockstandin.Store}); err != nil {
		return err
	}
	f.membershipList, err = f.startStandin(burdockstandin.Config{Kind: burdockstandin.List})
	return err
}

func (f *fleet) startAgents() error {
	engine := burdockstandin.Config{
		Kind:   burdockstandin.Engine,
		Engine: burdockfakeengine.Config{Step: 4500 * time.Microsecond, Prefill: 2 * time.Millisecond, Models: []string{modelName}},
	}
	plain := burdockstandin.Config{Kind: burdockstandin.Plain, Engine: burdockfakeengine.Config{Prefill: time.Millisecond}}
	for i := range replicas {
		if err := f.startAgent(modelService, burdockmember.KindModel, i, engine); err != nil {
			return err
		}
	}
	for i := range plainAgents {
		if err := f.startAgent(plainService, burdockmember.KindPlain, i, plain); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startAgent(service burdockid.Service, kind burdockmember.Kind, i int, upstream burdockstandin.Config) error {
	running, err := f.startStandin(upstream)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%02d", service, i+1)
	var settings burdocksettings.Agent
	settings.SetDefaults()
	f.setCommon(&settings.Common, name, i)
	settings.Upstream = burdockid.Upstream(name)
	settings.EngineAddress = running.Address()
	settings.Kind = kind
	settings.Slots = slots
	agent, err := burdockprocess.StartAgent(settings, f.log)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, agent)
	f.members.Upstreams = append(f.members.Upstreams, burdockmember.Upstream{
		Name:       settings.Upstream,
		Service:    service,
		VM:         settings.VM,
		DataCentre: settings.DataCentre,
		Agent:      agent.PeerAddress(),
	})
	return nil
}

func (f *fleet) startEntries() error {
	for i := range entryCount {
		var settings burdocksettings.Entry
		settings.SetDefaults()
		f.setCommon(&settings.Common, fmt.Sprintf("entry-%d", i+1), i)
		settings.Listen = anyPort
		entry, err := burdockprocess.StartEntry(settings, f.log)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, entry)
		f.members.Entries = append(f.members.Entries, burdockmember.Entry{
			VM: settings.VM, DataCentre: settings.DataCentre, Peer: entry.PeerAddress(),
		})
	}
	return nil
}

func (f *fleet) setCommon(c *burdocksettings.Common, vm string, i int) {
	c.Site = "gt-gua"
	c.DataCentre = dataCentres[i%len(dataCentres)]
	c.VM = burdockid.VM(vm)
	c.PeerListen = anyPort
	c.AdminListen = anyPort
	c.StoreAddresses = []string{f.store.Address()}
	c.MembershipAddress = f.membershipList.Address()
	c.PlainText = burdocksettings.PlainTextAccepted
}

// membership returns the fleet's description as an operator would write it.
func (f *fleet) membership(keyHash string) burdockmember.Fleet {
	m := f.members
	m.Site = "gt-gua"
	for _, dc := range dataCentres {
		m.DataCentres = append(m.DataCentres, burdockmember.DataCentre{Name: dc})
	}
	m.Services = []burdockmember.Service{
		{Name: modelService, Kind: burdockmember.KindModel, Profile: "bench", Models: []string{modelName}, MaxPromptTokens: 32768},
		{Name: plainService, Kind: burdockmember.KindPlain, Profile: "bench", Routes: []burdockmember.Route{
			{PathPrefix: "/licence", Idempotent: true, Class: "urgent"},
			{PathPrefix: "/jobs", Methods: []string{"GET"}, Idempotent: true, Class: "urgent"},
			{PathPrefix: "/model-cards"},
		}},
	}
	m.Customers = []burdockmember.Customer{{Name: "amplifier-lab", KeyHash: keyHash}}
	return m
}

// trialProfile returns the profile of the trial's services.
func trialProfile() burdockprofile.Profile {
	var p burdockprofile.Profile
	p.SetDefaults()
	p.Name = "bench"
	for _, name := range []string{"urgent", "draft"} {
		var class burdockprofile.Class
		class.SetDefaults()
		class.Name = name
		p.Classes = append(p.Classes, class)
	}
	p.DefaultClass = "draft"
	return p
}

// processStop drains one process.
type processStop struct {
	process interface{ Stop() }
	wg      *sync.WaitGroup
}

func (s processStop) run() {
	defer s.wg.Done()
	s.process.Stop()
}

// close stops all processes concurrently, then the stand-ins.
func (f *fleet) close() {
	var wg sync.WaitGroup
	wg.Add(len(f.entries) + len(f.agents))
	for _, e := range f.entries {
		go processStop{process: e, wg: &wg}.run()
	}
	for _, a := range f.agents {
		go processStop{process: a, wg: &wg}.run()
	}
	wg.Wait()
	for _, s := range f.standins {
		s.Close()
	}
}
