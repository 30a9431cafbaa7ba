package fakes

import "time"

// Drain makes the server refuse new requests and report that it drains.
func (s *Server) Drain() { s.update(func() { s.draining = true }) }

// HideDraining sets whether the state endpoint reports a draining server as not
// draining.
func (s *Server) HideDraining(hidden bool) { s.update(func() { s.hideDraining = hidden }) }

// SetShedding sets whether the server refuses all requests.
func (s *Server) SetShedding(shedding bool) { s.update(func() { s.shedding = shedding }) }

// SetReadDelay delays all data that arrives on any connection.
func (s *Server) SetReadDelay(delay time.Duration) { s.listener.setReadDelay(delay) }

// TurnCold makes the server cold, which its endpoints do not report. The option
// Floor must be set.
func (s *Server) TurnCold() { s.update(func() { s.coldStart = newColdStart(s.options) }) }

// EndColdStart makes the server warm.
func (s *Server) EndColdStart() { s.update(func() { s.coldStart.warmth = 1 }) }

// SetIndexes replaces the index versions and their partition maps.
func (s *Server) SetIndexes(indexes []Index) { s.update(func() { s.indexes = indexes }) }

// SilenceConnections permanently stops the traffic on every nth open connection
// without closing it, and returns the number of these connections. New
// connections are not affected.
func (s *Server) SilenceConnections(nth int) int { return s.listener.silenceEvery(nth) }

// CloseConnections closes all open connections, as a server does when its idle
// timeout expires.
func (s *Server) CloseConnections() { s.listener.closeAll() }

// update calls change with s.mu held.
func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}
