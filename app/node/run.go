package node

import (
	"context"

	"go.uber.org/dig"

	"github.com/rattanfield/rattanfield/adapters/settings"
	"github.com/rattanfield/rattanfield/app/lifecycle"
)

// Run builds the node from its settings and runs it until the context ends or a server or
// task fails.
func Run(ctx context.Context, s *settings.Node) error {
	container, err := newContainer(s)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		lifecycle.LimitHeap(int64(s.MemoryMB) * 1_000_000)
	}
	return dig.RootCause(container.Invoke(func(p *process) error { return p.run(ctx) }))
}

func newContainer(s *settings.Node) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *settings.Node { return s },
		newIncarnation, newTopology, newClient, newLogger, lifecycle.NewMetrics,
		newMembers, newInterests, newFollower, newRecorder, newResources, newCalls, newAdmin, newProcess,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, err
		}
	}
	return c, nil
}
