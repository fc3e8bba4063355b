package scale

import "lapisshelf/internal/forwarder"

// setTalk configures the kind of messages that a forwarder sends, by Variant.Talk.
func setTalk(c *forwarder.Config, talk string) { c.Legacy = talk == TalkWhole }
