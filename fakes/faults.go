package fakes

import "time"

// Drain makes the server refuse new work and say so.
func (s *Server) Drain() { s.set(func() { s.draining = true }) }

// HideDraining makes the state endpoint deny that the server drains.
func (s *Server) HideDraining(misled bool) { s.set(func() { s.misled = misled }) }

// SetShedding makes the server refuse all work.
func (s *Server) SetShedding(shedding bool) { s.set(func() { s.shedding = shedding }) }

// SetReadDelay delays whatever arrives on any connection.
func (s *Server) SetReadDelay(delay time.Duration) { s.listener.slow(delay) }

// TurnCold makes the server cold without any sign on its endpoints. It needs
// the option Floor.
func (s *Server) TurnCold() { s.set(func() { s.cold = newCold(s.options) }) }

// EndColdStart ends the cold start.
func (s *Server) EndColdStart() { s.set(func() { s.cold.warmth = 1 }) }

// SetIndexes replaces the index versions and their partition maps.
func (s *Server) SetIndexes(indexes []Index) { s.set(func() { s.indexes = indexes }) }

// SilenceConnections makes every nth open connection silent for good and returns their
// number. New connections work.
func (s *Server) SilenceConnections(nth int) int { return s.listener.silence(nth) }

// CloseConnections closes all open connections, as a server does with idle ones.
func (s *Server) CloseConnections() { s.listener.closeAll() }

func (s *Server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}
