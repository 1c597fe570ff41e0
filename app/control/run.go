package control

import (
	"context"

	"go.uber.org/dig"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/app/lifecycle"
)

// Run builds the control host from its settings and runs it until the context ends or a
// server or task fails.
func Run(ctx context.Context, s *settings.Control) error {
	container, err := newContainer(s)
	if err != nil {
		return err
	}
	return dig.RootCause(container.Invoke(func(p *process) error { return p.run(ctx) }))
}

func newContainer(s *settings.Control) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *settings.Control { return s },
		newTopology, newClient, newLogger, lifecycle.NewMetrics, newHost, newCollector, newDecider, newRelay, newAdmin, newProcess,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, err
		}
	}
	return c, nil
}
