package fakes

import "time"

// Drain makes the server refuse new work and say so.
func (s *Server) Drain() { s.update(func() { s.draining = true }) }

// HideDraining makes the state endpoint deny that the server drains.
func (s *Server) HideDraining(hidden bool) { s.update(func() { s.hideDraining = hidden }) }

// SetShedding makes the server refuse all work.
func (s *Server) SetShedding(shedding bool) { s.update(func() { s.shedding = shedding }) }

// SetReadDelay delays whatever arrives on any connection.
func (s *Server) SetReadDelay(delay time.Duration) { s.listener.setReadDelay(delay) }

// TurnCold makes the server cold without any sign on its endpoints. It needs
// the option Floor.
func (s *Server) TurnCold() { s.update(func() { s.coldStart = newColdStart(s.options) }) }

// EndColdStart ends the cold start.
func (s *Server) EndColdStart() { s.update(func() { s.coldStart.warmth = 1 }) }

// SetIndexes replaces the index versions and their partition maps.
func (s *Server) SetIndexes(indexes []Index) { s.update(func() { s.indexes = indexes }) }

// SilenceConnections makes every nth open connection silent for good and returns their
// number. New connections work.
func (s *Server) SilenceConnections(nth int) int { return s.listener.silenceEvery(nth) }

// CloseConnections closes all open connections, as a server does with idle ones.
func (s *Server) CloseConnections() { s.listener.closeAll() }

func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}
