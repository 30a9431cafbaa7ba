package kvhttp

import (
	"encoding/json"
	"errors"
	"strconv"

	"hyssophub/store"
)

// wireHost is the JSON form of store.HostInfo.
type wireHost struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	Peer  string `json:"peer,omitempty"`
	Beat  string `json:"beat,omitempty"`
}

// decodeHosts decodes the host list. A list that cannot be decoded is reported
// as store.ErrUnknown, like a lost answer.
func decodeHosts(body []byte) ([]store.HostInfo, error) {
	var list []wireHost
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Join(store.ErrUnknown, err)
	}
	hosts := make([]store.HostInfo, 0, len(list))
	for _, h := range list {
		hosts = append(hosts, store.HostInfo{
			Name:          h.Name,
			Kind:          store.HostKind(h.Kind),
			Zone:          h.Zone,
			State:         store.HostState(h.State),
			PeerAddr:      h.Peer,
			HeartbeatAddr: h.Beat,
		})
	}
	return hosts, nil
}

// decodeEntry decodes the entry of a key. An answer without a valid revision
// does not show whether the call took effect, so it is reported as
// store.ErrUnknown.
func decodeEntry(key string, r answer) (store.Entry, error) {
	revision, err := strconv.ParseUint(r.header.Get(headerRevision), 10, 64)
	if err != nil {
		return store.Entry{}, errors.Join(store.ErrUnknown, err)
	}
	return store.Entry{Key: key, Revision: revision, Value: r.body}, nil
}
