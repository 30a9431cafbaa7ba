package soak

import (
	"io"
	"net"
	"time"
)

const (
	// repeatHold is the time for which a client that comes again keeps a connection on
	// which it has sent its message, unless the host closes it.
	repeatHold = 700 * time.Millisecond
	// repeatPause is the time after a connection that could not be opened.
	repeatPause = 20 * time.Millisecond
)

// crowdAddress returns the source address of a client: one of as many as given, or that of
// the test if none are.
func crowdAddress(client, addresses int) net.Addr {
	if addresses == 0 {
		return nil
	}
	i := client % addresses
	return &net.TCPAddr{IP: net.IPv4(127, 60, byte(i/250), byte(1+i%250))}
}

// startRepeats starts clients that open a connection, send a message, close the connection
// and come again with a message of the next kind, until the script ends them.
func (c *crowd) startRepeats(listener string, count, addresses int, kinds []string) {
	address := c.host.address(ports[listener])
	for client := range count {
		dialer := net.Dialer{Timeout: crowdWrite, LocalAddr: crowdAddress(client, addresses)}
		c.clients.Go(func() {
			for turn := client; !c.isOver(); turn++ {
				conn, err := dialer.Dial("tcp", address)
				if err != nil {
					c.pause(repeatPause)
					continue
				}
				c.kinds[kinds[turn%len(kinds)]](limitWrites(conn))
				c.pause(repeatHold)
				_ = conn.Close()
			}
		})
	}
}

func limitWrites(conn net.Conn) io.Writer {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWrite))
	return conn
}

func (c *crowd) isOver() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}

// pause waits until the time has passed or the script ends the clients.
func (c *crowd) pause(duration time.Duration) {
	select {
	case <-c.over:
	case <-time.After(duration):
	}
}

// endRepeats ends the clients that come again.
func (c *crowd) endRepeats() {
	if !c.isOver() {
		close(c.over)
	}
	c.clients.Wait()
}
