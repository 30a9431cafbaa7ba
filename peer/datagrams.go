package peer

import (
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"
)

// maxBeat is the size of the largest datagram in bytes.
const maxBeat = 64 << 10

// datagrams is a UDP socket with its reader.
type datagrams struct {
	conn    *net.UDPConn
	reading sync.WaitGroup
}

func listenDatagrams(address string) (*datagrams, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, oops.Wrapf(err, "heartbeat address %s", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	return &datagrams{conn: conn}, nil
}

// read calls take for each datagram received until Close. The bytes are valid
// until take returns.
func (d *datagrams) read(take func([]byte)) {
	d.reading.Go(func() {
		buffer := make([]byte, maxBeat)
		for {
			n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			take(buffer[:n])
		}
	})
}

// Close stops receiving and waits for it.
func (d *datagrams) Close() error {
	err := d.conn.Close()
	d.reading.Wait()
	return err
}
