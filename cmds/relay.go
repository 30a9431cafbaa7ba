package cmds

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hyssophub/daemon"
	"hyssophub/logs"
	"hyssophub/setup"
)

type relayCmd struct {
	Config string `required:"" help:"Settings file of the entry host." type:"path"`
}

// settingsInterval is the time between two checks whether the settings file has changed, for
// changes without a signal.
const settingsInterval = 2 * time.Second

// Run serves until SIGTERM or an interrupt, which begins a planned stop. Before the stop the
// settings file is read again on SIGHUP, or when it has changed. A second SIGTERM or
// interrupt ends the process at once.
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
	c.reloadUntilStop(r, signals)
	return plannedStop(r.Stop, signals)
}

// reloadUntilStop reads the settings again on SIGHUP and when the file has changed, and
// returns at any other signal.
func (c *relayCmd) reloadUntilStop(r *daemon.Relay, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	content := c.content()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			if bytes.Equal(c.content(), content) {
				continue
			}
		}
		// A file that is being written is read again once it is whole.
		content = c.content()
		r.Reload(func() (setup.Relay, error) { return setup.ReadRelay(c.Config) })
	}
}

// content returns the content of the settings file; nil if it cannot be read, of which Reload
// logs the reason.
func (c *relayCmd) content() []byte {
	content, err := os.ReadFile(c.Config)
	if err != nil {
		return nil
	}
	return content
}
