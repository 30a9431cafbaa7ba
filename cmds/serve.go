package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hyssophub/daemon"
	"hyssophub/logs"
	"hyssophub/setup"

	"github.com/samber/oops"
)

type serveCmd struct {
	Config string `required:"" help:"Settings file of the entry host." type:"path"`
}

// Run serves until SIGTERM or an interrupt, which begins a planned stop. A
// second signal ends the process at once.
func (c *serveCmd) Run(cli *root, streams *Streams) error {
	log, err := logs.New(streams.Err, cli.Log)
	if err != nil {
		return err
	}
	settings, err := setup.Read(c.Config)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	daemon.LimitMemory(settings.MemoryMB)
	d, err := daemon.New(settings, log)
	if err != nil {
		return err
	}
	<-signals
	return plannedStop(d.Stop, signals)
}

// plannedStop calls stopHost and waits until it returns. A SIGTERM or interrupt
// meanwhile makes plannedStop return an error at once, so that the process exits
// before the planned stop is complete. SIGHUP is ignored: it requests no stop.
func plannedStop(stopHost func(context.Context) error, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- stopHost(ctx) }()
	for {
		select {
		case err := <-stopped:
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				return oops.Errorf("ended by a second signal")
			}
		}
	}
}
