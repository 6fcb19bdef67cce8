package ledger

import (
	"errors"

	"hemlockvale.dev/server/compact"
)

// earlierPreface is that of releases in which an admission request does not list the
// unreachable targets, and its response does not state the start of the target. During an
// upgrade, VMs of both releases run side by side.
const earlierPreface = "HVL3"

const (
	// unreachableField is the index of AdmitRequest.Unreachable in the encoded message, and
	// startedField that of AdmitResponse.StartedUnixMS.
	unreachableField = 21
	startedField     = 9
)

// toEarlier converts the payload of a message for an earlier release.
func toEarlier(k messageKind, payload []byte) ([]byte, error) {
	switch k {
	case kindAdmit:
		return compact.RemoveField(payload, unreachableField)
	case kindAdmitResponse:
		return compact.RemoveField(payload, startedField)
	}
	return payload, nil
}

// fromEarlier converts the payload of a message of an earlier release.
func fromEarlier(k messageKind, payload []byte) ([]byte, error) {
	switch k {
	case kindAdmit:
		return compact.InsertField(payload, unreachableField)
	case kindAdmitResponse:
		return compact.InsertField(payload, startedField)
	}
	return payload, nil
}

// linkForm is the form of the messages on a connection.
type linkForm bool

const (
	currentForm linkForm = false
	earlierForm linkForm = true
)

// encode returns a message in the form of the connection.
func (f linkForm) encode(k messageKind, value any) ([]byte, error) {
	if f == currentForm || value == nil {
		return encode(k, value)
	}
	payload, err := compact.Marshal(value)
	if err == nil {
		payload, err = toEarlier(k, payload)
	}
	if err != nil {
		return nil, err
	}
	return frame(k, payload), nil
}

// decoded converts the payload of a received message from the form of the connection.
func (f linkForm) decoded(k messageKind, payload []byte) ([]byte, error) {
	if f == currentForm {
		return payload, nil
	}
	return fromEarlier(k, payload)
}

// errHandshake is returned for a connection on which the store VM does not answer the first
// ping. It may be of an earlier release.
var errHandshake = errors.New("no response to the first ping")

// formFor returns the form in which to connect to a store VM.
func (c *Client) formFor(address string) linkForm {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.earlier[address] {
		return earlierForm
	}
	return currentForm
}

// noteForm selects the form of the next connection to a store VM. The earlier form is only used
// after a connection in the current one has failed.
func (c *Client) noteForm(address string, form linkForm, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if form == currentForm && errors.Is(err, errHandshake) {
		c.earlier[address] = true
	} else {
		delete(c.earlier, address)
	}
}

// preface returns the preface of a connection.
func (f linkForm) preface() string {
	if f == earlierForm {
		return earlierPreface
	}
	return Preface
}
