package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"hyssophub/daemon"
	"hyssophub/logs"
	"hyssophub/setup"
)

type relayCmd struct {
	Config string `required:"" help:"Settings file of the entry host." type:"path"`
}

// Run serves until SIGTERM or an interrupt, which begins a planned stop. SIGHUP
// before the stop reads the settings file again. A second SIGTERM or interrupt
// ends the process at once.
func (c *relayCmd) Run(cli *root, streams *Streams) error {
	output := logs.NewDroppingWriter(streams.Out)
	defer output.Close()
	log, err := logs.New(output, cli.Log)
	if err != nil {
		return err
	}
	settings, err := setup.ReadRelay(c.Config)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	r, err := daemon.NewRelay(settings, log)
	if err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		r.Reload(func() (setup.Relay, error) { return setup.ReadRelay(c.Config) })
	}
	return plannedStop(r.Stop, signals)
}
