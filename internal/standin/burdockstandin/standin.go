// Package burdockstandin runs stand-ins for the platform's services, each behind the same
// fault injection, for tests and for trying the system out.
package burdockstandin

import (
	"errors"
	"net"
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockfakelist"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"github.com/joomcode/errorx"
)

// Kind is a kind of stand-in.
type Kind string

// Kinds of stand-ins.
const (
	Store  Kind = "store"
	List   Kind = "list"
	Engine Kind = "engine"
	Plain  Kind = "plain"
	// Lockstep synchronises the steps of the engines of a lock-stepped group.
	Lockstep Kind = "lockstep"
)

// Config selects and configures a stand-in.
type Config struct {
	Kind    Kind
	Address string
	// Lag is the time after which the membership list shows a change.
	Lag burdockclock.Millis
	// Engine is the configuration of an engine or a plain service.
	Engine burdockfakeengine.Config
	// Ranks is the number of engines that a Lockstep synchronises.
	Ranks int
}

// Running is a started stand-in.
type Running struct {
	Injector *burdockfault.Injector
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Start starts the stand-in that cfg describes.
func Start(cfg Config) (*Running, error) {
	handler, err := newHandler(cfg)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errorx.Decorate(err, "stand-in %s", cfg.Kind)
	}
	injector := burdockfault.NewInjector(handler)
	r := &Running{
		Injector: injector,
		listener: listener,
		server:   &http.Server{Handler: injector},
		done:     make(chan struct{}),
	}
	go r.run()
	return r, nil
}

func newHandler(cfg Config) (http.Handler, error) {
	clock := burdockclock.System()
	switch cfg.Kind {
	case Store:
		return burdockfakestore.New(clock), nil
	case List:
		return burdockfakelist.New(clock, cfg.Lag), nil
	case Engine, Plain:
		return burdockfakeengine.New(cfg.Engine), nil
	case Lockstep:
		return burdockfakeengine.NewLockstep(cfg.Ranks), nil
	default:
		return nil, errorx.IllegalArgument.New("no stand-in %q; want %s, %s, %s, %s or %s", cfg.Kind, Store, List, Engine, Plain, Lockstep)
	}
}

func (r *Running) run() {
	defer close(r.done)
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		panic(err) // otherwise the failure looks like an injected fault
	}
}

// Address returns the IP and port that the stand-in listens on.
func (r *Running) Address() string { return r.listener.Addr().String() }

// Close stops the stand-in at once, closing all connections.
func (r *Running) Close() {
	_ = r.server.Close()
	<-r.done
}
