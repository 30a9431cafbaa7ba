package codec

import (
	"encoding/json"

	"hyssophub/member"
)

type rosterJSON struct {
	Epoch   uint64       `json:"epoch"`
	Members []memberJSON `json:"members"`
}

type memberJSON struct {
	Name        string `json:"name"`
	Peer        string `json:"peer"`
	Beat        string `json:"beat"`
	Incarnation uint64 `json:"incarnation"`
	Role        string `json:"role"`
}

// EncodeRoster encodes a roster for the store.
func EncodeRoster(r member.Roster) ([]byte, error) {
	w := rosterJSON{Epoch: r.Epoch, Members: make([]memberJSON, 0, len(r.Members))}
	for _, m := range r.Members {
		w.Members = append(w.Members, memberJSON{
			Name:        m.Host.Name,
			Peer:        m.Host.PeerAddr,
			Beat:        m.Host.HeartbeatAddr,
			Incarnation: m.Host.Incarnation,
			Role:        string(m.Role),
		})
	}
	return json.Marshal(w)
}

// DecodeRoster decodes the roster of a zone from the value in the store. At
// revision zero the store has no value, and the roster is the one of epoch zero.
func DecodeRoster(data []byte, zone string, revision uint64) (member.Roster, error) {
	r := member.Roster{Revision: revision}
	if revision == 0 {
		return r, nil
	}
	var w rosterJSON
	if err := decodeStrict(data, &w); err != nil {
		return member.Roster{}, err
	}
	r.Epoch = w.Epoch
	for _, m := range w.Members {
		r.Members = append(r.Members, member.Member{
			Host: member.Host{Name: m.Name, Zone: zone, PeerAddr: m.Peer, HeartbeatAddr: m.Beat, Incarnation: m.Incarnation},
			Role: member.Role(m.Role),
		})
	}
	return r, nil
}
