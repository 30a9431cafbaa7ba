package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"hyssophub/daemon"
	"hyssophub/logs"
	"hyssophub/setup"
)

type serveCmd struct {
	Config string `required:"" help:"Settings file of the entry host." type:"path"`
}

// Run serves until SIGTERM or an interrupt.
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
	d, err := daemon.New(settings, log)
	if err != nil {
		return err
	}
	<-signals
	return d.Close()
}
