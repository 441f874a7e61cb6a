package verb

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run the roles that the settings name",
		Description: "Example: comfreythread serve --settings /etc/comfreythread/settings.json\n\nSIGTERM and SIGINT stop the process gracefully.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "file with the settings, in JSON"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			processSettings, err := settings.Load(command.String("settings"))
			if err != nil {
				return err
			}
			logger, err := process.NewLogger(processSettings, command.Root().ErrWriter)
			if err != nil {
				return err
			}
			listeners, err := process.Listen(ctx, processSettings, process.Network{})
			if err != nil {
				return err
			}
			app := process.New(processSettings, listeners, process.Network{}, logger, command.Root().Writer)
			startContext, cancel := context.WithTimeout(ctx, process.StartTimeout)
			defer cancel()
			if err := app.Start(startContext); err != nil {
				return err
			}
			<-ctx.Done()
			logger.Info("stopping")
			stopContext, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), process.StopTimeout)
			defer cancelStop()
			err = app.Stop(stopContext)
			logger.Info("stopped", zap.Error(err))
			_ = logger.Sync() // waits only briefly; if the log reader is stuck, the queued lines are lost
			return err
		},
	}
}
