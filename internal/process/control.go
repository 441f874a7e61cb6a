// This file exists so that the control role is wired in one place.

package process

import (
	"go.uber.org/fx"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

func controlModule(settings *settings.Settings) fx.Option {
	if settings.Control == nil {
		return fx.Options()
	}
	return fx.Module("control",
		fx.Provide(newState, newReplica, control.NewService),
		fx.Invoke(func(service *control.Service, server *frame.Server) { service.Register(server) }),
	)
}

func newState() *control.State {
	return new(control.State)
}

func newReplica(state *control.State) *replica.Replica {
	return replica.New(state)
}
