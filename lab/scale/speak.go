package scale

import "lapisshelf/internal/forwarder"

// speak has a forwarder talk as a variant wants it.
func speak(c *forwarder.Config, talk string) { c.Whole = talk == TalkWhole }
