package event

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

const topic = "events"

// subscriberBuffer is the number of events that a slow subscriber may fall
// behind before publishers block.
const subscriberBuffer = 256

// Bus delivers published events to all subscribers. The underlying channel
// delivers each message on a goroutine of its own, so events may arrive out of
// order: a handler must treat an event as a hint to read the table of the
// aggregate.
type Bus struct {
	channel     *gochannel.GoChannel
	ctx         context.Context
	cancel      context.CancelFunc
	subscribers sync.WaitGroup
}

// NewBus returns a bus without subscribers.
func NewBus() *Bus {
	b := &Bus{channel: gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: subscriberBuffer}, watermill.NopLogger{})}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

// Publish sends an event to all subscribers.
func (b *Bus) Publish(e Event) error {
	payload, err := encode(e)
	if err != nil {
		return err
	}
	return b.channel.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload))
}

// Subscribe calls handle for each event until the bus is closed. Calls for one
// subscriber never overlap.
func (b *Bus) Subscribe(handle func(Event)) error {
	messages, err := b.channel.Subscribe(b.ctx, topic)
	if err != nil {
		return err
	}
	b.subscribers.Go(func() {
		for m := range messages {
			if e, err := decode(m.Payload); err == nil {
				handle(e)
			}
			m.Ack()
		}
	})
	return nil
}

// Close stops delivery and waits for running handlers.
func (b *Bus) Close() error {
	b.cancel()
	err := b.channel.Close()
	b.subscribers.Wait()
	return err
}

type wireEvent struct {
	Kind     string `json:"kind"`
	Subject  string `json:"subject,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// EncodeForPeers returns the kind and subject under which an event is sent to
// the other daemons of the zone, and false for events that are not sent to
// them.
func EncodeForPeers(e Event) (kind, subject string, ok bool) {
	switch e := e.(type) {
	case ServerDraining:
		return "draining", e.Server, true
	case ServerCold:
		return "cold", e.Server, true
	case HostLeaving:
		return "leaving", e.Host, true
	case ConfigAccepted, MembersChanged:
		return "", "", false
	}
	return "", "", false
}

// DecodeFromPeer returns the event with a kind and subject that EncodeForPeers
// returned, and false for an unknown kind.
func DecodeFromPeer(kind, subject string) (Event, bool) {
	switch kind {
	case "draining":
		return ServerDraining{Server: subject}, true
	case "cold":
		return ServerCold{Server: subject}, true
	case "leaving":
		return HostLeaving{Host: subject}, true
	default:
		return nil, false
	}
}

func encode(e Event) ([]byte, error) {
	switch e := e.(type) {
	case ConfigAccepted:
		return json.Marshal(wireEvent{Kind: "config", Revision: e.Revision})
	case MembersChanged:
		return json.Marshal(wireEvent{Kind: "members", Subject: e.Zone})
	default:
		kind, subject, _ := EncodeForPeers(e)
		return json.Marshal(wireEvent{Kind: kind, Subject: subject})
	}
}

func decode(payload []byte) (Event, error) {
	var w wireEvent
	if err := json.Unmarshal(payload, &w); err != nil {
		return nil, err
	}
	switch w.Kind {
	case "config":
		return ConfigAccepted{Revision: w.Revision}, nil
	case "members":
		return MembersChanged{Zone: w.Subject}, nil
	}
	e, ok := DecodeFromPeer(w.Kind, w.Subject)
	if !ok {
		return nil, unknownKindError(w.Kind)
	}
	return e, nil
}

type unknownKindError string

func (e unknownKindError) Error() string { return "event: unknown kind " + string(e) }
