package peer

import (
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"

	"hyssophub/work"
)

// maxDatagram is the size of the largest UDP datagram, in bytes.
const maxDatagram = 64 << 10

// udpSocket is a UDP socket and the goroutine that reads it.
type udpSocket struct {
	conn   *net.UDPConn
	reader sync.WaitGroup
}

func listenUDP(address string) (*udpSocket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, oops.Wrapf(err, "parse heartbeat address %s", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	return &udpSocket{conn: conn}, nil
}

// receive starts a goroutine that calls handle for each received datagram until
// Close. The bytes are valid until handle returns. A panic of handle is reported to
// onPanic and ends only the handling of that datagram.
func (s *udpSocket) receive(handle func(data []byte, from netip.AddrPort), onPanic func(work.Panic)) {
	s.reader.Go(func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			work.Guard(onPanic, func() { handle(buffer[:n], from) })
		}
	})
}

// Close closes the socket and waits until the last call of the handler returns.
func (s *udpSocket) Close() error {
	err := s.conn.Close()
	s.reader.Wait()
	return err
}
