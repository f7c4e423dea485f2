package replay

import (
	"errors"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/loopback"
	"github.com/amaranthlb/amaranthlb/standin/service"
)

// standin is a target's stand-in.
type standin interface {
	Start(address string) error
	Address() string
	Close() error
}

// Standins are the stand-ins of a deployment's targets, in this process.
type Standins struct {
	// Targets has the address of each target.
	Targets []Backend
	// Engines and Services give access to the stand-ins by the target's name.
	Engines  map[string]*engine.Server
	Services map[string]*service.Server

	all []standin
}

// StartStandins starts a stand-in for each target of a deployment on loopback.
func StartStandins(d *Deployment) (*Standins, error) {
	s := &Standins{Engines: make(map[string]*engine.Server), Services: make(map[string]*service.Server)}
	for i := range d.Pools {
		for _, target := range d.Pools[i].Targets {
			if err := s.start(&d.Pools[i], target.Name); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	return s, nil
}

func (s *Standins) start(pool *Pool, name string) error {
	one := s.create(pool, name)
	s.all = append(s.all, one)
	address, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	if err := one.Start(address); err != nil {
		return err
	}
	s.Targets = append(s.Targets, Backend{Name: name, Address: one.Address()})
	return nil
}

func (s *Standins) create(pool *Pool, name string) standin {
	if pool.Kind == catalogue.Service {
		config := service.Default()
		config.RunTime = milliseconds(pool.RunTimeMS)
		s.Services[name] = service.New(config)
		return s.Services[name]
	}
	config := engine.Default()
	config.Config = pool.Engine.Batch()
	config.Model = pool.Name
	config.Version = EngineVersion
	config.StatusAge = max(time.Millisecond, milliseconds(pool.Engine.ReportIntervalMS))
	s.Engines[name] = engine.New(config)
	return s.Engines[name]
}

// Close stops all stand-ins.
func (s *Standins) Close() error {
	var errs []error
	for _, one := range s.all {
		errs = append(errs, one.Close())
	}
	return errors.Join(errs...)
}
