// Package burdockstandin runs the stand-ins for what the platform gives, each
// behind the same fault injection, for tests and for trying the system out.
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

// Kind names a stand-in.
type Kind string

// Stand-ins.
const (
	Store  Kind = "store"
	List   Kind = "list"
	Engine Kind = "engine"
	Plain  Kind = "plain"
	// Lockstep is the exchange between the engines of a lock-stepped group.
	Lockstep Kind = "lockstep"
)

// Config says which stand-in runs, and how.
type Config struct {
	Kind    Kind
	Address string
	// Lag is how late the membership list shows a change.
	Lag burdockclock.Millis
	// Engine is how an engine or a plain service behaves.
	Engine burdockfakeengine.Config
	// Ranks is the number of engines that a Lockstep keeps in step.
	Ranks int
}

// Running is a stand-in that serves.
type Running struct {
	Injector *burdockfault.Injector
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Start starts a stand-in.
func Start(cfg Config) (*Running, error) {
	handler, err := handlerOf(cfg)
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

func handlerOf(cfg Config) (http.Handler, error) {
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
		panic(err) // a stand-in that can't serve would look like a fault it was told to show
	}
}

// Address returns the IP and port that the stand-in listens on.
func (r *Running) Address() string { return r.listener.Addr().String() }

// Close ends the stand-in at once.
func (r *Running) Close() {
	_ = r.server.Close()
	<-r.done
}
