package entry

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// message is a chat message with the fields that identify it in a conversation.
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

// conversation holds the hashes of a chat call's messages that identify its program.
type conversation struct {
	// lineage is the hash of the messages through the first user message, or of all
	// messages if there is none.
	lineage uint64
	// head is the hash of the messages through the last assistant message; 0 if there is
	// none.
	head uint64
	// firstNew is the index of the first message after the last assistant message.
	firstNew int
	// hash is the running hash of all messages.
	hash *xxhash.Digest
}

// hashConversation computes the hashes of a chat call's messages.
func hashConversation(messages []message) conversation {
	c := conversation{hash: xxhash.New()}
	userSeen := false
	for i, m := range messages {
		m.writeTo(c.hash)
		if m.Role == roleUser && !userSeen {
			userSeen = true
			c.lineage = c.hash.Sum64()
		}
		if m.Role == roleAssistant {
			c.head = c.hash.Sum64()
			c.firstNew = i + 1
		}
	}
	if !userSeen {
		c.lineage = c.hash.Sum64()
	}
	return c
}

// headAfter returns the head of the conversation with the answer appended. It adds the
// answer to the running hash, so it can be called only once.
func (c conversation) headAfter(answer message) uint64 {
	answer.writeTo(c.hash)
	return c.hash.Sum64()
}

// writeTo adds the message to the hash in a canonical form, because callers may send an
// answer back with different white space and key order.
func (m message) writeTo(d *xxhash.Digest) {
	// Marshalling values that were decoded from JSON cannot fail. It sorts object keys.
	data, _ := json.Marshal(m)
	_, _ = d.Write(data)
	_, _ = d.Write([]byte{0})
}

// lineageID derives the program id of a call that names no program. The id depends on
// the key id, so that callers with different keys do not share a program.
func lineageID(keyID string, c conversation) string {
	d := xxhash.New()
	_, _ = d.WriteString(keyID)
	return derivedIDPrefix + "lineage-" + strconv.FormatUint(d.Sum64()^c.lineage, 16)
}
