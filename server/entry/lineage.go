package entry

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// message is the part of a chat message that identifies it in a conversation.
type message struct {
	Role       string `json:"role"`
	Content    any    `json:"content,omitempty"`
	ToolCalls  any    `json:"tool_calls,omitempty"`
	ToolCallID string `json:"tool_call_id,omitempty"`
}

const (
	roleAssistant = "assistant"
	roleUser      = "user"
)

// conversation is what a chat call's messages say about its program.
type conversation struct {
	// lineage is the hash of the messages through the first user message.
	lineage uint64
	// head is the hash through the last assistant message; 0 when there is none.
	head uint64
	// tail is the number of messages through the last assistant message.
	tail int
	// digest is the running hash over all messages.
	digest *xxhash.Digest
}

func readConversation(messages []message) conversation {
	c := conversation{digest: xxhash.New()}
	sawUser := false
	for i, m := range messages {
		m.addTo(c.digest)
		if m.Role == roleUser && !sawUser {
			sawUser = true
			c.lineage = c.digest.Sum64()
		}
		if m.Role == roleAssistant {
			c.head = c.digest.Sum64()
			c.tail = i + 1
		}
	}
	if !sawUser {
		c.lineage = c.digest.Sum64()
	}
	return c
}

// headAfter returns the head once the answer is part of the conversation.
func (c conversation) headAfter(answer message) uint64 {
	answer.addTo(c.digest)
	return c.digest.Sum64()
}

// addTo hashes the message in a canonical form: callers echo an answer with
// other white space and key order than it was sent with.
func (m message) addTo(d *xxhash.Digest) {
	// Marshalling values that came from JSON cannot fail, and sorts object keys.
	data, _ := json.Marshal(m)
	_, _ = d.Write(data)
	_, _ = d.Write([]byte{0})
}

// lineageID derives the program id of a caller that sends none. The key id
// keeps callers with different keys apart.
func lineageID(keyID string, c conversation) string {
	d := xxhash.New()
	_, _ = d.WriteString(keyID)
	return derivedPrefix + "lineage-" + strconv.FormatUint(d.Sum64()^c.lineage, 16)
}
